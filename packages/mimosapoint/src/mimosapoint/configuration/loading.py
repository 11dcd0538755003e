"""Loading of configurations and patches from YAML files."""

from pathlib import Path
from typing import Any

import yaml

from mimosapoint.codec.strict import DocumentInvalid, decode_document
from mimosapoint.configuration.document import Configuration
from mimosapoint.configuration.patch import Patch
from mimosapoint.configuration.validation import parse_configuration
from mimosapoint.errors import ConfigurationInvalid

__all__ = ["load_configuration", "load_patch"]


def _read(path: str | Path) -> Any:
    try:
        return yaml.safe_load(Path(path).read_text())
    except OSError as error:
        raise ConfigurationInvalid(f"{path}: {error.strerror}") from error
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        raise ConfigurationInvalid(f"{path}: not YAML: {error}") from error


def load_configuration(path: str | Path) -> Configuration:
    """Read a configuration.

    :param path: YAML file.
    :raises ConfigurationInvalid: the file cannot be read or is invalid; lists all reasons.
    """
    return parse_configuration(_read(path))


def load_patch(path: str | Path) -> Patch:
    """Read a patch.

    :param path: YAML file.
    :raises ConfigurationInvalid: the file cannot be read or is invalid; lists all reasons.
    """
    try:
        return decode_document(_read(path), Patch)
    except DocumentInvalid as error:
        raise ConfigurationInvalid(reasons=error.reasons) from error
