"""Queue requests and estimate whether they can be answered in time."""

from hemlockdock_entry.waiting.estimate import Capacity, expected_answer_s
from hemlockdock_entry.waiting.model_queues import ModelQueues
from hemlockdock_entry.waiting.queue import WaitingQueue
from hemlockdock_entry.waiting.service_times import ServiceTimes

__all__ = ["Capacity", "ModelQueues", "ServiceTimes", "WaitingQueue", "expected_answer_s"]
