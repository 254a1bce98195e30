"""The choice of VMs for a job."""

from briardeal_scheduling.placement._fit import ResourceDemand, choose_workers, fits_empty, has_room
from briardeal_scheduling.placement._reservation import find_reservation
from briardeal_scheduling.placement._victims import Opening, open_room, open_room_anywhere

__all__ = [
    "ResourceDemand",
    "Opening",
    "choose_workers",
    "find_reservation",
    "fits_empty",
    "has_room",
    "open_room",
    "open_room_anywhere",
]
