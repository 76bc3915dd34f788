"""The interface of the parts that reject requests because of their customers."""

from cactusvane.configuration.model import Customer
from cactusvane.customers.gate import CustomerGate, OpenGate


class CountingQuota(OpenGate):
    def __init__(self) -> None:
        self.calls: list[str] = []

    def admit(self, customer: Customer) -> None:
        self.calls.append(f"admit {customer.name}")

    def give_back(self, customer: Customer) -> None:
        self.calls.append(f"give back {customer.name}")


def test_one_part_is_replaced_without_the_other() -> None:
    """Guards against a quota that can only be enforced together with strict revocation."""
    gate, quota = CustomerGate(), CountingQuota()
    gate.quota = quota
    gate.check_current()
    gate.check_unknown_key()
    gate.admit(Customer("a", ()))
    gate.give_back(Customer("a", ()))
    assert quota.calls == ["admit a", "give back a"]
    assert isinstance(CustomerGate().quota, OpenGate)
