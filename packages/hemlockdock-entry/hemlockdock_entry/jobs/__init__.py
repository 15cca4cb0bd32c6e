"""Accept, run and read back jobs that control keeps."""

from hemlockdock_entry.jobs.job_desk import JobDesk, job_id_for, job_path
from hemlockdock_entry.jobs.job_runner import JobRunner

__all__ = ["JobDesk", "JobRunner", "job_id_for", "job_path"]
