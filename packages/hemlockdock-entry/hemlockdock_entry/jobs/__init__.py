"""Accept, run and read back jobs that control keeps."""

from hemlockdock_entry.jobs.job_intake import JobIntake, job_id_for, job_path
from hemlockdock_entry.jobs.job_runner import JobRunner

__all__ = ["JobIntake", "JobRunner", "job_id_for", "job_path"]
