"""The catalogue of events, each with its number and what it means."""

from __future__ import annotations

import enum


class Event(enum.Enum):
    """An event that a process logs; the number never changes its meaning."""

    PROCESS_STARTED = (100, "The process is up and listens.")
    PROCESS_STOPPING = (101, "A graceful shutdown has begun; no new work is taken.")
    PROCESS_STOPPED = (102, "The process has finished what it held.")
    PROCESS_CRASHED = (104, "An invariant is broken and the process ends; report it.")
    SETTINGS_RELOADED = (105, "The settings file has changed; the fields say what is in force now.")
    SETTINGS_REJECTED = (106, "The settings file has mistakes; what was in force before stays so.")
    LINES_SUMMED_UP = (110, "So many lines of one event in one second were counted, not written.")
    LINES_DROPPED = (111, "So many lines were dropped because the reader of the log stalled.")
    AGENT_JOINED = (200, "An agent has announced itself to this entry.")
    AGENT_LEFT = (201, "An agent has announced that it is leaving.")
    AGENT_EXPIRED = (202, "An agent's lease lapsed without a heartbeat.")
    AGENT_REPLACED = (203, "An agent came back with a newer incarnation.")
    LINK_OPENED = (210, "A connection to a peer was opened.")
    LINK_LOST = (211, "A connection to a peer was lost or went silent.")
    ENDPOINT_EJECTED = (220, "An endpoint fails more often than the others and is left out.")
    PEER_JOINED = (240, "Another entry of the region was linked.")
    PEER_LOST = (241, "The link to another entry was lost or its lease lapsed.")
    PEER_LEFT = (242, "Another entry has announced that it is leaving.")
    PEER_REPLACED = (243, "Another entry came back with a newer incarnation.")
    STREAM_OPENED = (244, "A stream to a failure domain of another region was opened.")
    STREAM_CLOSED = (245, "A stream to a failure domain of another region has ended.")
    STATE_RESYNCED = (246, "Updates of another entry were missed and all were asked for anew.")
    REQUEST_FORWARDED = (247, "A request was passed on to another entry.")
    CONFIGURATION_ASKED = (248, "A peer was asked for a newer configuration.")
    REQUEST_REFUSED = (300, "A request was refused; the reason says why.")
    REQUEST_RETRIED = (301, "A request was sent again; the reason says why.")
    REQUEST_UNKNOWN = (302, "It is not known whether a request ran.")
    REQUEST_FAILED = (303, "A call met an error of this entry itself; report it.")
    JOB_ACCEPTED = (400, "A job was accepted and stands in the log.")
    JOB_REFUSED = (401, "A job was refused; the reason says why.")
    JOB_STARTED = (402, "Every task of a job has started.")
    JOB_ENDED = (403, "A job has ended; the state says how.")
    OWNER_CLAIMS = (410, "This entry claims the ownership of its region's jobs.")
    OWNER_STARTED = (411, "This entry owns its region's jobs and knows what runs.")
    OWNER_REPLACED = (412, "Another entry owns the region's jobs from now on.")
    RIGHT_CHANGED = (413, "Whether this entry may start jobs has changed; the right says how.")
    JOB_ADOPTED = (414, "A job was found running and goes on.")
    ATTEMPT_ENDED = (415, "A start of a job is over; the outcome says how.")
    STRAY_STOPPED = (416, "A task of a start that is over was found running and is stopped.")
    TASK_ORDERED = (420, "The owner has ordered a task to start; the cause says why now.")
    TASK_STOPPED = (421, "The owner has ordered a start to end; the cause says why.")
    START_SETTLED = (422, "An agent has told what became of an order to start.")
    TASK_ENDED = (423, "A start is over; the end says how.")
    STARTS_SETTLED = (424, "All that an earlier owner may have started is known.")
    JOB_CANCELLED = (425, "A caller has cancelled a job, and that is kept.")
    HOLD_EXTENDED = (426, "An agent follows an owner and extends the hold of its worker.")
    HOLD_LOST = (427, "No owner extends the hold of this agent; its work ends when that is over.")
    WORKER_REPLACED = (428, "A worker came back with a newer incarnation and runs nothing.")
    WORKER_SILENT = (429, "A worker does not answer its agent.")
    JOBS_EXPIRED = (432, "So many jobs that have long been over are taken out of the store.")
    WORKER_HEARD = (430, "A worker that was silent answers its agent again.")
    WORKER_GONE = (431, "A worker has ended and runs nothing.")
    LOG_UNAVAILABLE = (500, "The log can't be reached or does not answer.")
    LOG_RECOVERED = (501, "The log answers again.")
    STORE_DETOUR = (503, "The store fails this entry, which goes through another one for a while.")
    STORE_REGAINED = (504, "The store answers this entry itself again.")
    RECORD_UNKNOWN = (510, "A record of a newer version was left out; upgrade this process.")
    RECORD_BROKEN = (511, "A record on the log can't be read and was left out.")
    LOG_GAP_FOUND = (512, "Records that this process had not read are gone from the log.")
    LOG_GAP_MENDED = (513, "What was gone from the log was made good from a snapshot or a peer.")
    SNAPSHOT_WRITTEN = (514, "A snapshot was written to the log.")
    SNAPSHOT_REJECTED = (515, "A snapshot on the log is damaged or not whole and was passed over.")
    APPEND_UNCERTAIN = (516, "An append was not answered; the log is read back to settle it.")
    CONFIGURATION_IN_FORCE = (520, "A configuration is in force in this process.")
    CONFIGURATION_LOST = (
        521,
        "A change of configuration came second to another and has no effect.",
    )
    CONFIGURATION_UNREADABLE = (522, "A configuration is too new for this process; upgrade it.")

    def __init__(self, number: int, meaning: str) -> None:
        self.number = number
        self.meaning = meaning
