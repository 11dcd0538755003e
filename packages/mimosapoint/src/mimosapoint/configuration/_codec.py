"""JSON encoding of the configuration document."""

import attrs
from cattrs.gen import make_dict_structure_fn, make_dict_unstructure_fn, override

from mimosapoint.codec import converter
from mimosapoint.codec.strict import document_key
from mimosapoint.configuration.document import (
    Capacity,
    Configuration,
    Guarantee,
    Policies,
    Service,
    Workspace,
    Zone,
)

__all__ = ["register"]


def _register(kind: type) -> None:
    """Register hooks that use the document keys of a class and reject unknown keys."""
    renames = {
        field.name: override(rename=document_key(field))
        for field in attrs.fields(kind)
        if document_key(field) != field.name
    }
    structure = make_dict_structure_fn(kind, converter, _cattrs_forbid_extra_keys=True, **renames)
    converter.register_structure_hook(kind, structure)
    unstructure = make_dict_unstructure_fn(kind, converter, **renames)
    converter.register_unstructure_hook(kind, unstructure)


def register() -> None:
    """Register the hooks of all document classes, innermost first."""
    for kind in (Capacity, Zone, Guarantee, Service, Workspace, Policies, Configuration):
        _register(kind)


register()
