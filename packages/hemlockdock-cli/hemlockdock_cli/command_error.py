"""Exception that ends a command with an error message."""


class CommandError(Exception):
    """Raised to end the command with an exit code.

    Parameters
    ----------
    code : ExitCode
    message : str
        Printed to standard error.
    """

    def __init__(self, code, message):
        super().__init__(message)
        self.code = code
