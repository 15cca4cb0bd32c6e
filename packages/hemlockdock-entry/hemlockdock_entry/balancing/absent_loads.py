"""Stand in for the loads of endpoints where control sends none."""


class AbsentLoads:
    """No load summaries: the rules that need them don't apply.

    Attributes
    ----------
    is_fresh : bool
    """

    is_fresh = False
