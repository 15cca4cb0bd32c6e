"""Submit, read and run jobs that are stored by control."""

from hemlockdock_entry.jobs.job_client import JobClient, job_engine_path, job_id_for
from hemlockdock_entry.jobs.job_runner import JobRunner

__all__ = ["JobClient", "JobRunner", "job_id_for", "job_engine_path"]
