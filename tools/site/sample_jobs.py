"""Sample jobs of the three kinds of work, with the output that they should return."""

from typing import Any

from mimosapoint.memory.task_kinds import run_task
from mimosapoint.model import Resources, TaskSpec

__all__ = ["borrowing_job", "bulletin", "guaranteed_job", "expected_parts", "rebuild", "thumbnail"]

ONE_ACCELERATOR = {"slots": 1, "cores": 16, "memory_gib": 32, "accelerators": 1}
REGIONS = ("Artigas", "Rivera", "Salto", "Rocha", "Colonia", "Durazno")


def expected_parts(job: dict[str, Any]) -> list[Any]:
    """Return the output parts that the payload of a job produces."""
    gang = job["gang"]
    specs = (
        TaskSpec("", "", "", Resources(), index, gang, job["payload"]) for index in range(gang)
    )
    return [run_task(spec) for spec in specs]


def _compose(text: str, screens: list[str], seconds: float) -> dict[str, Any]:
    return {"kind": "compose", "screens": screens, "text": text, "seconds": seconds}


def bulletin(number: int, *, repeatable: bool = True) -> dict[str, Any]:
    """Return an urgent bulletin for a few screens."""
    region = REGIONS[number % len(REGIONS)]
    screens = [f"{region} terminal {n}" for n in range(4)]
    return {
        "workspace": "civil-protection",
        "service": "bulletins",
        "class": "urgent",
        "gang": 2,
        "shape": ONE_ACCELERATOR,
        "adjacency": "rack",
        "run_time": 1,
        "repeatable": repeatable,
        "interruptible": False,
        "payload": _compose(f"Alerta {number}: vientos fuertes en {region}", screens, 0.4),
    }


def rebuild(number: int) -> dict[str, Any]:
    """Return a playlist rebuild whose tasks share one worker."""
    screens = [f"oficina {number} pantalla {n}" for n in range(8)]
    return {
        "workspace": "regional-offices",
        "service": "playlist-rebuilds",
        "class": "deferrable",
        "gang": 4,
        "shape": ONE_ACCELERATOR,
        "adjacency": "worker",
        "run_time": 2,
        "payload": _compose(f"Lista {number}", screens, 1.0),
    }


def thumbnail(number: int) -> dict[str, Any]:
    """Return a thumbnail check."""
    return {
        "workspace": "editors",
        "service": "thumbnail-checks",
        "class": "normal",
        "gang": 1,
        "shape": ONE_ACCELERATOR,
        "run_time": 1,
        "payload": _compose(f"Miniatura {number}", [f"vista {number}"], 0.3),
    }


def borrowing_job(number: int, seconds: float) -> dict[str, Any]:
    """Return a playlist rebuild for borrowed capacity.

    :param seconds: run time.
    """
    job = rebuild(number)
    job["run_time"] = seconds
    job["payload"] = {**job["payload"], "seconds": seconds}
    return job


def guaranteed_job(seconds: float) -> dict[str, Any]:
    """Return a gang that claims the guarantee of the compositor.

    :param seconds: run time.
    """
    screens = [f"sala {n}" for n in range(32)]
    return {
        "workspace": "compositor-core",
        "service": "bulletins",
        "class": "normal",
        "gang": 32,
        "shape": ONE_ACCELERATOR,
        "adjacency": "rack",
        "run_time": seconds,
        "interruptible": False,
        "payload": _compose("Composicion", screens, seconds),
    }
