"""Which route of a manifest takes the requests of a host and path."""


class RouteMatches:
    """Routes of a manifest by the host and prefix that entries match.

    Parameters
    ----------
    routes : iterable of RouteRow

    Attributes
    ----------
    routes_by_place : dict of tuple to list of RouteRow
    """

    def __init__(self, routes):
        self.routes_by_place = {}
        for route in routes:
            if can_match(route):
                self.routes_by_place.setdefault(match_place(route), []).append(route)

    def successor(self, route):
        """Return the route that takes the requests of a route of another manifest.

        Parameters
        ----------
        route : RouteRow

        Returns
        -------
        RouteRow or None
        """
        host, prefix = match_place(route)
        end = len(prefix)
        while end > 0:
            routes = self.routes_by_place.get((host, prefix[:end]))
            if routes:
                return routes[-1]
            end = prefix.rfind("/", 0, end - 1) + 1
        return None


def match_place(route):
    """Return the host and prefix that entries match; hosts match in either case.

    Parameters
    ----------
    route : RouteRow

    Returns
    -------
    tuple of (str, str)
    """
    return route.host.lower(), route.prefix


def can_match(route):
    """Return whether any path can match; entries look up paths up to a slash.

    Parameters
    ----------
    route : RouteRow

    Returns
    -------
    bool
    """
    return route.prefix.startswith("/") and route.prefix.endswith("/")
