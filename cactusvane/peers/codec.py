"""Conversion between data classes and protobuf messages.

Each ``pack_`` function has an ``unpack_`` function that reverses it. An ``unpack_`` function
raises `ValueError` for an invalid message; the caller drops such messages.
"""

from typing import Any

from cactusvane.configuration.model import Head
from cactusvane.fleet.messages import (
    Ack,
    Body,
    Envelope,
    Member,
    Ping,
    PingRequest,
    Rumor,
    Status,
    Sync,
)
from cactusvane.fleet.vm import Address, Vm, VmState
from cactusvane.outcome import Outcome
from cactusvane.peers.generated import peers_pb2 as pb
from cactusvane.peers.messages import (
    EntryMessage,
    Hello,
    KeeperMessage,
    ServiceCreditRequest,
    ServiceCredits,
    ServiceEjection,
    ServiceLeaving,
    ServiceRestoration,
)
from cactusvane.pool.messages import Ejection, ReportEvidence, ReportLeaving, TargetCounts
from cactusvane.slots.messages import (
    Credit,
    CreditRequest,
    CreditResponse,
    ReturnedCredit,
    UncreditedUse,
)


def pack_address(address: Address) -> Any:
    """Return a ``pb.Address``."""
    return pb.Address(host=address.host, port=address.port)


def unpack_address(message: Any) -> Address:
    """Return an `Address`."""
    if not message.host or not 0 < message.port < 65_536:
        raise ValueError(f"invalid address: {message.host}:{message.port}")
    return Address(message.host, message.port)


def pack_vm(vm: Vm) -> Any:
    """Return a ``pb.Vm``."""
    return pb.Vm(
        name=vm.name,
        address=pack_address(vm.address),
        failure_domain=vm.failure_domain,
        region=vm.region,
        service=vm.service,
        peer=pack_address(vm.peer) if vm.peer else None,
        leaving=vm.state is VmState.LEAVING,
    )


def unpack_vm(message: Any) -> Vm:
    """Return a `Vm`."""
    return Vm(
        name=message.name,
        address=unpack_address(message.address),
        failure_domain=message.failure_domain,
        region=message.region,
        service=message.service,
        peer=unpack_address(message.peer) if message.HasField("peer") else None,
        state=VmState.LEAVING if message.leaving else VmState.LIVE,
    )


def pack_member(member: Member) -> Any:
    """Return a ``pb.Member``."""
    return pb.Member(
        vm=pack_vm(member.vm), incarnation=member.incarnation, status=member.status.value
    )


def unpack_member(message: Any) -> Member:
    """Return a `Member`."""
    return Member(unpack_vm(message.vm), message.incarnation, Status(message.status))


def pack_head(head: Head) -> Any:
    """Return a ``pb.Head``."""
    return pb.Head(version=head.version, digest=head.digest, publish_id=head.publish_id)


def unpack_head(message: Any) -> Head:
    """Return a `Head`."""
    return Head(message.version, message.digest, message.publish_id)


def pack_envelope(envelope: Envelope) -> Any:
    """Return a ``pb.Envelope``."""
    message = pb.Envelope(
        sender=pack_member(envelope.sender),
        updates=[pack_member(update) for update in envelope.updates],
        head=pack_head(envelope.head) if envelope.head else None,
    )
    match envelope.body:
        case Ping(nonce):
            message.ping = nonce
        case Ack(nonce):
            message.ack = nonce
        case PingRequest(nonce, target):
            request = pb.PingRequest(nonce=nonce, target=pack_address(target))
            message.ping_request.CopyFrom(request)
        case Rumor():
            message.rumor.SetInParent()
        case Sync(digest):
            message.sync = digest
    return message


def unpack_envelope(message: Any) -> Envelope:
    """Return an `Envelope`."""
    return Envelope(
        sender=unpack_member(message.sender),
        body=unpack_body(message),
        updates=tuple(unpack_member(update) for update in message.updates),
        head=unpack_head(message.head) if message.HasField("head") else None,
    )


def unpack_body(message: Any) -> Body:
    """Return the body of a ``pb.Envelope``."""
    match message.WhichOneof("body"):
        case "ping":
            return Ping(message.ping)
        case "ack":
            return Ack(message.ack)
        case "ping_request":
            request = message.ping_request
            return PingRequest(request.nonce, unpack_address(request.target))
        case "rumor":
            return Rumor()
        case "sync":
            return Sync(message.sync)
        case other:
            raise ValueError(f"unknown body of an envelope: {other}")


def pack_entry_message(message: EntryMessage) -> Any:
    """Return a ``pb.EntryMessage``."""
    match message:
        case Hello(vm, failure_domain):
            return pb.EntryMessage(hello=pb.Hello(vm=vm, failure_domain=failure_domain))
        case ReportEvidence(service, counts):
            packed = [pack_counts(each) for each in counts]
            return pb.EntryMessage(evidence=pb.Evidence(service=service, counts=packed))
        case ReportLeaving(service, target):
            leaving = pb.Leaving(service=service, target=pack_address(target))
            return pb.EntryMessage(leaving=leaving)
        case ServiceCreditRequest(service, request):
            return pb.EntryMessage(ask=pack_credit_request(service, request))


def unpack_entry_message(message: Any) -> EntryMessage:
    """Return an `EntryMessage`."""
    match message.WhichOneof("body"):
        case "hello":
            return Hello(message.hello.vm, message.hello.failure_domain)
        case "evidence":
            counts = tuple(unpack_counts(each) for each in message.evidence.counts)
            return ReportEvidence(message.evidence.service, counts)
        case "leaving":
            target = unpack_address(message.leaving.target)
            return ReportLeaving(message.leaving.service, target)
        case "ask":
            return ServiceCreditRequest(message.ask.service, unpack_credit_request(message.ask))
        case other:
            raise ValueError(f"unknown message from an entry: {other}")


def pack_counts(counts: TargetCounts) -> Any:
    """Return a ``pb.TargetCounts``."""
    return pb.TargetCounts(
        target=pack_address(counts.target),
        served=counts.served,
        failed=counts.failed,
        in_time=counts.in_time,
        slow=counts.slow,
        trial=counts.trial,
    )


def unpack_counts(message: Any) -> TargetCounts:
    """Return `TargetCounts`."""
    return TargetCounts(
        unpack_address(message.target),
        served=message.served,
        failed=message.failed,
        in_time=message.in_time,
        slow=message.slow,
        trial=message.trial,
    )


def pack_credit_request(service: str, request: CreditRequest) -> Any:
    """Return a ``pb.Ask``."""
    return pb.Ask(
        service=service,
        sequence=request.sequence,
        waiting=request.waiting,
        returned=[pack_returned_credit(returned) for returned in request.returned],
        full=[pack_address(address) for address in request.full],
        uses=[pb.Use(target=pack_address(use.target), count=use.count) for use in request.uses],
    )


def unpack_credit_request(message: Any) -> CreditRequest:
    """Return a `CreditRequest`."""
    return CreditRequest(
        sequence=message.sequence,
        waiting=message.waiting,
        returned=tuple(unpack_returned_credit(returned) for returned in message.returned),
        full=tuple(unpack_address(address) for address in message.full),
        uses=tuple(UncreditedUse(unpack_address(use.target), use.count) for use in message.uses),
    )


def pack_returned_credit(returned: ReturnedCredit) -> Any:
    """Return a ``pb.CreditUse``."""
    outcome = returned.outcome.value if returned.outcome else ""
    return pb.CreditUse(id=returned.id, outcome=outcome, latency_ms=returned.latency_ms)


def unpack_returned_credit(message: Any) -> ReturnedCredit:
    """Return a `ReturnedCredit`."""
    outcome = Outcome(message.outcome) if message.outcome else None
    return ReturnedCredit(message.id, outcome, message.latency_ms)


def pack_keeper_message(message: KeeperMessage) -> Any:
    """Return a ``pb.KeeperMessage``."""
    match message:
        case ServiceEjection(service, ejection):
            return pb.KeeperMessage(ejection=pack_ejection(service, ejection))
        case ServiceRestoration(service, target):
            returned = pb.Return(service=service, target=pack_address(target))
            return pb.KeeperMessage(returned=returned)
        case ServiceLeaving(service, target):
            leaving = pb.Leaving(service=service, target=pack_address(target))
            return pb.KeeperMessage(leaving=leaving)
        case ServiceCredits(service, response):
            return pb.KeeperMessage(credits=pack_credits(service, response))


def unpack_keeper_message(message: Any) -> KeeperMessage:
    """Return a `KeeperMessage`."""
    match message.WhichOneof("body"):
        case "ejection":
            return ServiceEjection(message.ejection.service, unpack_ejection(message.ejection))
        case "returned":
            target = unpack_address(message.returned.target)
            return ServiceRestoration(message.returned.service, target)
        case "leaving":
            target = unpack_address(message.leaving.target)
            return ServiceLeaving(message.leaving.service, target)
        case "credits":
            return ServiceCredits(message.credits.service, unpack_credits(message.credits))
        case other:
            raise ValueError(f"unknown message from a keeper: {other}")


def pack_ejection(service: str, ejection: Ejection) -> Any:
    """Return a ``pb.Ejection``."""
    return pb.Ejection(
        service=service,
        target=pack_address(ejection.target),
        failure_domains=ejection.failure_domains,
        hold_ms=ejection.hold_ms,
        expiry_ms=ejection.expiry_ms,
        trial=ejection.trial,
        severity=ejection.severity,
        reason=ejection.reason,
    )


def unpack_ejection(message: Any) -> Ejection:
    """Return an `Ejection`."""
    return Ejection(
        target=unpack_address(message.target),
        failure_domains=tuple(message.failure_domains),
        hold_ms=message.hold_ms,
        expiry_ms=message.expiry_ms,
        trial=message.trial,
        severity=message.severity,
        reason=message.reason,
    )


def pack_credits(service: str, response: CreditResponse) -> Any:
    """Return a ``pb.Credits``."""
    return pb.Credits(
        service=service,
        sequence=response.sequence,
        credits=[
            pb.Credit(id=credit.id, target=pack_address(credit.target), lease_ms=credit.lease_ms)
            for credit in response.credits
        ],
    )


def unpack_credits(message: Any) -> CreditResponse:
    """Return `CreditResponse`."""
    return CreditResponse(
        sequence=message.sequence,
        credits=tuple(
            Credit(credit.id, unpack_address(credit.target), credit.lease_ms)
            for credit in message.credits
        ),
    )
