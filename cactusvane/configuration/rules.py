"""Rules: routes outside the service files, which may split requests among services by weight."""

from dataclasses import dataclass
from random import Random

from cactusvane.configuration.model import Rule


@dataclass(frozen=True, slots=True)
class RuleTable:
    """Rules by host and path prefix.

    A lookup tries the prefixes of the request's path that end with a slash, longest first, in one
    dictionary, so its time grows with the number of path segments and not with the number of rules.

    Parameters
    ----------
    rules
        Rules by host in lower case and path prefix.
    """

    rules: dict[tuple[str, str], Rule]

    def find(self, host: str, path: str) -> Rule | None:
        """Return the rule with the longest prefix of `path`.

        Parameters
        ----------
        host
            Value of the ``Host`` field; a port is ignored.
        path
            Path of the request, without its query.

        Returns
        -------
        Rule or None
            None if no rule matches.
        """
        name = host.partition(":")[0].lower()
        end = path.rfind("/") + 1
        while end > 0:
            rule = self.rules.get((name, path[:end]))
            if rule is not None:
                return rule
            end = path.rfind("/", 0, end - 1) + 1
        return None


def build_rule_table(rules: tuple[Rule, ...]) -> RuleTable:
    """Return the table of `rules`.

    Examples
    --------
    >>> from cactusvane.configuration.model import Route, Share
    >>> route = Route("/a/", ("*",), True, "read")
    >>> table = build_rule_table((Rule("a.test", "/a/", route, (Share("records", 1),)),))
    >>> table.find("A.test:80", "/a/b/c").prefix
    '/a/'
    >>> table.find("a.test", "/a") is None
    True
    """
    return RuleTable({(rule.host.lower(), rule.prefix): rule for rule in rules})


def choose_service(rule: Rule, random: Random) -> str:
    """Return the service for one request of `rule`, chosen at random by the weights."""
    if len(rule.shares) == 1:
        return rule.shares[0].service
    weights = [share.weight for share in rule.shares]
    return random.choices([share.service for share in rule.shares], weights)[0]
