"""Dispatch of each effect to the member task that carries it out."""

from functools import singledispatch

from hemlockdock_control.consensus.effects import (
    ApplyEntries,
    LeadershipChanged,
    RestoreStateMachine,
    Send,
    TruncateLog,
    WriteEntries,
    WriteSnapshot,
    WriteVote,
)


@singledispatch
def run_effect(effect, task):
    """Carry out one effect.

    Parameters
    ----------
    effect : one of hemlockdock_control.consensus.effects
    task : MemberTask
    """
    raise TypeError(f"no such effect: {effect!r}")


@run_effect.register(WriteVote)
@run_effect.register(WriteEntries)
@run_effect.register(TruncateLog)
@run_effect.register(WriteSnapshot)
def _(effect, task):
    task.write(effect)


@run_effect.register
def _(effect: Send, task):
    task.send(effect)


@run_effect.register
def _(effect: ApplyEntries, task):
    task.apply(effect.entries)


@run_effect.register
def _(effect: RestoreStateMachine, task):
    task.restore(effect.snapshot)


@run_effect.register
def _(effect: LeadershipChanged, task):
    task.report_leadership(effect.leads, effect.term)
