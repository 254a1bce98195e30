"""The budget of a listener decides what is closed first, and keeps a floor."""

from __future__ import annotations

from briardeal_core.http import Budget, ListenerBudget, Phase, divide_budgets

FLOOR_BYTES = 100_000


def open_holding(budget, phase, since_s, held_bytes=0):
    holding = budget.open(None, since_s)
    holding.phase = phase
    budget.hold(holding, held_bytes)
    return holding


def test_connections_are_closed_in_order_and_served_ones_never():
    # Guards against a crowd that outlives ordinary clients: stalled connections must go first.
    budget = Budget(ListenerBudget(9, 0), FLOOR_BYTES)
    open_holding(budget, Phase.SERVING, 0.0, 50_000)
    expected = [
        open_holding(budget, Phase.REFUSED, 9.9),
        open_holding(budget, Phase.WRITING, 8.0),
        open_holding(budget, Phase.IDLE, 5.0),
        open_holding(budget, Phase.READING, 1.0, 9_000),
        open_holding(budget, Phase.READING, 1.0, 90_000),
        open_holding(budget, Phase.IDLE, 9.5),
        open_holding(budget, Phase.READING, 9.5, 500),
        open_holding(budget, Phase.WRITING, 9.5),
    ]
    assert budget.is_full
    closed = []
    while (found := budget.find_excess_connection(10.0)) is not None:
        closed.append(found)
        budget.close(found)
    assert closed == expected
    assert budget.held_bytes == 50_000


def test_reads_are_closed_until_the_requests_fit():
    budget = Budget(ListenerBudget(9, 250_000), FLOOR_BYTES)
    tiny = open_holding(budget, Phase.READING, 0.0, 100)
    slow = open_holding(budget, Phase.READING, 0.0, 90_000)
    fast = open_holding(budget, Phase.READING, 7.0, 90_000)
    reader = open_holding(budget, Phase.READING, 9.9, 60_000)
    assert budget.find_excess_read(reader, 10.0) is None
    budget.hold(reader, 80_000)
    # A read that holds next to nothing frees nothing.
    assert budget.find_excess_read(reader, 10.0) is slow
    budget.close(slow)
    assert budget.find_excess_read(reader, 10.0) is None
    assert budget.holdings == {tiny, fast, reader}


def test_one_request_is_read_whatever_served_ones_hold_and_no_more():
    # Guards against both a standstill while slow requests are served, and bodies without a bound.
    budget = Budget(ListenerBudget(9, 200_000), FLOOR_BYTES)
    open_holding(budget, Phase.SERVING, 0.0, 200_000)
    reader = open_holding(budget, Phase.READING, 9.0, FLOOR_BYTES)
    assert budget.find_excess_read(reader, 10.0) is None
    budget.hold(reader, FLOOR_BYTES + 1)
    assert budget.find_excess_read(reader, 10.0) is reader


def test_small_budget_is_raised_to_the_floor():
    budget = Budget(ListenerBudget(9, 0), FLOOR_BYTES)
    reader = open_holding(budget, Phase.READING, 0.0, FLOOR_BYTES)
    assert budget.find_excess_read(reader, 10.0) is None


def test_listeners_together_stay_within_the_process():
    for memory_mb, descriptors in ((200.0, 4_100), (552.0, 8_192), (168.0, 4_096), (80.0, 400)):
        budgets = divide_budgets(memory_mb, descriptors)
        listeners = (budgets.callers, budgets.readiness, budgets.heartbeats, budgets.metrics)
        used = sum(each.connections for each in listeners) + budgets.unknown_peers
        assert used <= (descriptors - 200) * 0.9
        assert min(each.connections for each in listeners) >= 4
