"""End a command with one line for a person."""


class CommandError(Exception):
    """Raise to end the command.

    Parameters
    ----------
    code : ExitCode
    message : str
        Printed on standard error, one line.
    """

    def __init__(self, code, message):
        super().__init__(message)
        self.code = code
