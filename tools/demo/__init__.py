"""The Agencia's main job and a rehearsal on a site of separate processes."""
