from cactusvane.configuration.model import Head
from cactusvane.fleet.messages import HeadInForce, SeedsReceived, Status, Stopping, VmListReceived
from cactusvane.fleet.vm import Address
from tests.fleet.net import Net, make_vm


def peer(number: int) -> Address:
    return Address("127.0.0.1", 20_000 + number)


def test_dead_vm_is_removed_from_every_view():
    net = Net(9)
    net.run(2_000)
    del net.nodes[peer(4)]
    net.run(8_000)
    (view,) = net.views()
    assert "vm-4" not in view
    assert len(view) == 8


def test_no_vm_is_suspected_in_a_healthy_fleet():
    net = Net(12)
    net.run(30_000)
    assert net.views() == {tuple(sorted(f"vm-{n}" for n in range(12)))}
    assert all(m.incarnation == 0 for node in net.nodes.values() for m in node.members.values())


def test_one_way_cut_between_two_vms_removes_no_vm():
    net = Net(9)
    net.cut = lambda source, to: (source, to) == (peer(1), peer(2))
    net.run(60_000)
    (view,) = net.views()
    assert len(view) == 9


def test_suspended_vm_becomes_a_member_again():
    net = Net(9)
    net.run(1_000)
    net.frozen.add(peer(3))
    net.run(15_000)
    assert "vm-3" not in next(iter(net.views()))
    net.frozen.clear()
    net.run(8_000)
    (view,) = net.views()
    assert len(view) == 9


def test_partition_heals_without_a_new_list():
    net = Net(9)
    inside = {peer(n) for n in (0, 3, 6)}
    net.cut = lambda source, to: (source in inside) != (to in inside)
    net.run(20_000)
    assert len(net.views()) == 2
    net.cut = lambda source, to: False
    net.run(40_000)
    (view,) = net.views()
    assert len(view) == 9


def test_vm_joins_through_a_seed_without_a_list():
    net = Net(6)
    net.add(make_vm(6)).handle(SeedsReceived((peer(0),)), net.now)
    net.run(5_000)
    (view,) = net.views()
    assert len(view) == 7


def test_head_reaches_all_vms_and_is_not_replaced_by_an_older_one():
    net = Net(12)
    head = Head(7, "digest", "publish")
    net.deliver(peer(0), net.nodes[peer(0)].handle(HeadInForce(head), net.now))
    net.nodes[peer(1)].handle(HeadInForce(Head(6, "old", "older")), net.now)
    net.run(2_000)
    assert {node.head for node in net.nodes.values()} == {head}


def test_a_planned_leave_is_known_without_probing():
    net = Net(9)
    net.run(1_000)
    net.deliver(peer(5), net.nodes.pop(peer(5)).handle(Stopping(), net.now))
    net.run(1_000)
    (view,) = net.views()
    assert len(view) == 8


def test_live_vm_that_is_not_in_the_list_stays_a_member():
    net = Net(6)
    net.run(500)
    short = tuple(make_vm(n) for n in range(5))
    for node in net.nodes.values():
        node.handle(VmListReceived(short), net.now)
    net.run(6_000)
    (view,) = net.views()
    assert "vm-5" in view
    assert net.nodes[peer(0)].members["vm-5"].status is Status.ALIVE
