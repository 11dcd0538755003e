"""Commands for the settings files of nodes."""

from fire.decorators import SetParseFn

from mimosapoint_cli.session import Action

__all__ = ["SettingsCommands"]


class SettingsCommands:
    """Check settings files."""

    @SetParseFn(str)
    def check(self, file):
        """Check a node's settings file without a server."""
        return Action(lambda: _check(file))


def _check(file: str) -> None:
    from mimosapoint.settings import load_settings

    load_settings(file)
    print(f"{file}: valid")
