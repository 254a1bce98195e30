"""The catalogue of events, each with its number and meaning."""

from __future__ import annotations

import enum


class Event(enum.Enum):
    """An event that a process logs; its number never changes its meaning."""

    PROCESS_STARTED = (100, "The process has started and listens.")
    PROCESS_STOPPING = (101, "A graceful shutdown has begun; no new work is accepted.")
    PROCESS_STOPPED = (102, "The graceful shutdown is complete.")
    PROCESS_CRASHED = (104, "The process exits because of an internal error; report it.")
    SETTINGS_RELOADED = (105, "The settings file has changed; `changed` lists the new settings.")
    SETTINGS_REJECTED = (106, "The settings file has mistakes; the old settings stay in force.")
    LINES_SUMMED_UP = (110, "Lines of one event beyond the limit per second were counted only.")
    LINES_DROPPED = (111, "Lines were dropped because the reader of the log stalled.")
    AGENT_JOINED = (200, "An agent has connected to this entry.")
    AGENT_LEFT = (201, "An agent has announced that it is leaving.")
    AGENT_EXPIRED = (202, "The lease of an agent expired without a heartbeat.")
    AGENT_REPLACED = (203, "An agent has restarted with a newer incarnation.")
    LINK_OPENED = (210, "A connection to a peer was opened.")
    LINK_LOST = (211, "A connection to a peer was lost or went silent.")
    ENDPOINT_EJECTED = (220, "An endpoint fails more often than the others and gets no requests.")
    PEER_JOINED = (240, "A link to another entry of the region was established.")
    PEER_LOST = (241, "The link to another entry was lost, or its lease expired.")
    PEER_LEFT = (242, "Another entry has announced that it is leaving.")
    PEER_REPLACED = (243, "Another entry has restarted with a newer incarnation.")
    STREAM_OPENED = (244, "A stream to a failure domain of another region was opened.")
    STREAM_CLOSED = (245, "A stream to a failure domain of another region was closed.")
    STATE_RESYNCED = (246, "Updates of another entry were missed; a full update was requested.")
    REQUEST_FORWARDED = (247, "A request was forwarded to another entry.")
    CONFIGURATION_ASKED = (248, "A newer configuration was requested from a peer.")
    REQUEST_REFUSED = (300, "A request was rejected; the reason says why.")
    REQUEST_RETRIED = (301, "A request was sent again; the reason says why.")
    REQUEST_UNKNOWN = (302, "It is not known whether a request ran.")
    REQUEST_FAILED = (303, "A request failed due to an internal error of this entry; report it.")
    CLIENTS_CLOSED = (
        304,
        "Connections of clients were closed for a limit or a budget in the last second; `counts`"
        " gives their number by listener and reason.",
    )
    JOB_ACCEPTED = (400, "A job was accepted and is stored in the log.")
    JOB_REFUSED = (401, "A job was rejected; the reason says why.")
    JOB_STARTED = (402, "Every task of a job has started.")
    JOB_ENDED = (403, "A job has finished; the state says how.")
    JOB_WAITS = (404, "Tasks of a job have waited for over a second; the cause says for what.")
    CLAIMS_RELEASED = (405, "VMs kept for tasks were given up before the tasks had started there.")
    JOB_PASSED_OVER = (
        406,
        "Tasks of a job wait while jobs of its class that were accepted later start tasks.",
    )
    OWNER_CLAIMS = (410, "This entry claims ownership of the jobs of its region.")
    OWNER_STARTED = (411, "This entry owns the jobs of its region and knows which of them run.")
    OWNER_REPLACED = (412, "Another entry now owns the jobs of the region.")
    RIGHT_CHANGED = (413, "Whether this entry may start jobs has changed; the right says how.")
    JOB_ADOPTED = (414, "A new owner found a job or task running and lets it continue.")
    ATTEMPT_ENDED = (415, "An attempt of a job has ended; the outcome says how.")
    STRAY_STOPPED = (416, "A task of an attempt that has ended was found running and is stopped.")
    PLANNING_STALLED = (
        417,
        "The owner has completed no planning round for a second; `waits_for` says for what.",
    )
    PLANNING_RESUMED = (418, "The owner completes planning rounds again.")
    TASK_ORDERED = (420, "The owner has ordered an agent to start a task; the cause says why now.")
    TASK_STOPPED = (421, "The owner has ordered an agent to stop a task; the cause says why.")
    START_SETTLED = (422, "An agent has reported the outcome of an order to start a task.")
    TASK_ENDED = (423, "An attempt of a task has ended; the end says how.")
    STARTS_SETTLED = (424, "All tasks that an earlier owner may have started are now known.")
    JOB_CANCELLED = (425, "A caller has cancelled a job, and the cancellation is stored.")
    HOLD_EXTENDED = (426, "An agent follows an owner and renews the lease of its worker.")
    HOLD_LOST = (427, "No owner renews the lease of this agent; its tasks stop when it expires.")
    WORKER_REPLACED = (428, "A worker has restarted with a newer incarnation and runs no tasks.")
    WORKER_SILENT = (429, "A worker does not answer its agent.")
    JOBS_EXPIRED = (432, "Jobs that finished long ago are removed from the store.")
    WORKER_HEARD = (430, "A worker that was silent answers its agent again.")
    WORKER_GONE = (431, "A worker has ended and runs no tasks.")
    WORKER_CRASHED = (433, "A worker has ended without notice; `tasks` says what ran, in seconds.")
    CRASH_ATTRIBUTED = (434, "A crash of a worker was counted against a task, with its weight.")
    STOP_SUPERSEDED = (
        435,
        "A worker knows a newer owner, so an order of the earlier one has no more effect.",
    )
    WORKER_DENIED = (436, "A worker is not the incarnation that a description names.")
    INCARNATION_FENCED = (
        437,
        "A worker has restarted; calls for earlier incarnations have a lower fencing token.",
    )
    DEPARTURE_DECIDED = (
        438,
        "What the owner does with tasks on a VM that leaves, and by which expected end.",
    )
    CLOCKS_DIFFER = (
        440,
        "A job was accepted at a time that is still to come by the clock of the owner.",
    )
    CLOCK_CORRECTED = (
        441,
        "The time of day of the machine has differed for long enough, and is used from now on.",
    )
    HEARTBEAT_FIELDS_IGNORED = (
        449,
        "A worker announces values that can't be used; the rest of its heartbeat counts.",
    )
    WORKER_COLD_CHANGED = (450, "A worker says that it is cold after its start, or no longer.")
    VM_PACE_CHANGED = (
        448,
        "A VM runs the same tasks more slowly than others, or as usual again (`pace_class`).",
    )
    ADMISSION_UNREADABLE = (
        460,
        "A summary of the owner's work can't be decoded; jobs are accepted without an estimate.",
    )
    LOG_UNAVAILABLE = (500, "The log is unreachable or does not answer.")
    LOG_RECOVERED = (501, "The log answers again.")
    STORE_DETOUR = (503, "This entry can't reach the store directly and uses another entry.")
    STORE_REGAINED = (504, "This entry reaches the store directly again.")
    RECORD_UNKNOWN = (510, "A record of a newer version was skipped; upgrade this process.")
    RECORD_BROKEN = (511, "A record in the log can't be decoded and was skipped.")
    LOG_GAP_FOUND = (512, "The log no longer has some records that this process had not read.")
    LOG_GAP_MENDED = (513, "Records missing from the log were replaced by a snapshot or by a peer.")
    SNAPSHOT_WRITTEN = (514, "A snapshot was written to the log.")
    SNAPSHOT_REJECTED = (515, "A snapshot in the log is damaged or incomplete and was skipped.")
    APPEND_UNCERTAIN = (516, "An append was not acknowledged; the log is read to check for it.")
    LOAD_INTERRUPTED = (
        518,
        "A page of the newest records did not come; it is read again, after those before it.",
    )
    CONFIGURATION_IN_FORCE = (520, "A configuration is in force in this process.")
    CONFIGURATION_LOST = (
        521,
        "A change of the configuration has no effect because another one was first.",
    )
    CONFIGURATION_UNREADABLE = (522, "This process is too old to read a configuration; upgrade it.")
    CONFIGURATION_OUTDATED = (523, "A configuration was ignored, as a newer one is in force here.")
    LIMITS_IGNORED = (
        524,
        "Limits of requests in the configuration can't be used; the defaults hold instead.",
    )
    REGIONS_IN_FORCE = (
        525,
        "Queues of the configuration in force may run their tasks only in the named regions.",
    )
    EVACUATION_IN_FORCE = (530, "Operators evacuate a failure domain: no task may start in it.")
    EVACUATION_ENDED = (531, "A failure domain is no longer evacuated; the cause says why.")
    EVACUATION_APPLIED = (
        532,
        "The first decision of the planner after a change of the evacuated failure domains.",
    )
    EVACUATION_DOUBTFUL = (
        533,
        "A request to evacuate a failure domain is unusual; the reason says how.",
    )
    STARTS_HELD = (534, "The owner starts no tasks, as it can't read the operators' requests.")
    STARTS_RESUMED = (535, "The owner starts tasks again, as it reads the operators' requests.")

    def __init__(self, number: int, meaning: str) -> None:
        self.number = number
        self.meaning = meaning
