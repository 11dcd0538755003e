"""Demo of the Agencia's work and of a zone withdrawal on a site of separate processes."""
