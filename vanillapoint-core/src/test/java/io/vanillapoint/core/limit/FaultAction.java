package io.vanillapoint.core.limit;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.api.model.VmId;
import io.vanillapoint.core.limit.VirtualFleet.Node;
import java.util.ArrayList;
import java.util.List;

/**
 * One step of a random run. The numbers select VMs and durations, so that any list of actions is
 * valid and can be shrunk.
 *
 * @param kind kind of the action
 * @param first selects a VM
 * @param second selects another VM, a customer or a duration
 */
record FaultAction(Kind kind, int first, int second) {
    /** Kind of action. */
    enum Kind {
        WAIT {
            @Override
            void run(VirtualFleet fleet, int first, int second) {
                fleet.advance(100 + 25L * (second % 200));
            }
        },
        SHORT_WAIT {
            @Override
            void run(VirtualFleet fleet, int first, int second) {
                fleet.advance(25L * (1 + second % 20));
            }
        },
        BURST {
            @Override
            void run(VirtualFleet fleet, int first, int second) {
                for (int i = 0; i < 12; i++) {
                    VmId entry = selectVm(fleet, first + i).id;
                    fleet.request(entry, VirtualFleet.CUSTOMERS.get(second % 6), 20 + second % 60);
                    fleet.advance(25);
                }
            }
        },
        KILL {
            @Override
            void run(VirtualFleet fleet, int first, int second) {
                selectVm(fleet, first).kill();
            }
        },
        RESTART {
            @Override
            void run(VirtualFleet fleet, int first, int second) {
                Node node = selectVm(fleet, first);
                node.kill();
                fleet.advance(25L * (second % 40));
                if (fleet.isListed(node.id)) {
                    node.start();
                }
            }
        },
        START {
            @Override
            void run(VirtualFleet fleet, int first, int second) {
                selectVm(fleet, first).start();
            }
        },
        ADD {
            @Override
            void run(VirtualFleet fleet, int first, int second) {
                RegionId region = selectVm(fleet, first).region;
                if (fleet.listedIn(region) < MAX_VMS) {
                    fleet.addVm(region);
                }
            }
        },
        REMOVE {
            @Override
            void run(VirtualFleet fleet, int first, int second) {
                Node node = selectVm(fleet, first);
                if (fleet.listedIn(node.region) > 2) {
                    node.kill();
                    fleet.removeFromList(node.id);
                }
            }
        },
        REPLACE {
            @Override
            void run(VirtualFleet fleet, int first, int second) {
                Node node = selectVm(fleet, first);
                node.kill();
                fleet.removeFromList(node.id);
                fleet.addVm(node.region);
            }
        },
        PAUSE {
            @Override
            void run(VirtualFleet fleet, int first, int second) {
                selectVm(fleet, first).pause(25L * (second % 200));
            }
        },
        SUSPEND {
            @Override
            void run(VirtualFleet fleet, int first, int second) {
                selectVm(fleet, first).suspend(25L * (second % 200));
            }
        },
        CLOCK_STEP {
            @Override
            void run(VirtualFleet fleet, int first, int second) {
                selectVm(fleet, first).wallOffset += (second - 500) * 10L;
            }
        },
        CUT_ONE_WAY {
            @Override
            void run(VirtualFleet fleet, int first, int second) {
                fleet.blockLink(selectVm(fleet, first).id, selectVm(fleet, second).id);
            }
        },
        CUT_BOTH_WAYS {
            @Override
            void run(VirtualFleet fleet, int first, int second) {
                fleet.blockLink(selectVm(fleet, first).id, selectVm(fleet, second).id);
                fleet.blockLink(selectVm(fleet, second).id, selectVm(fleet, first).id);
            }
        },
        HEAL_ONE {
            @Override
            void run(VirtualFleet fleet, int first, int second) {
                VmId one = selectVm(fleet, first).id;
                VmId other = selectVm(fleet, second).id;
                fleet.blockedLinks.remove(new VirtualFleet.Link(one, other));
                fleet.blockedLinks.remove(new VirtualFleet.Link(other, one));
            }
        },
        PLATFORM_OF_ONE {
            @Override
            void run(VirtualFleet fleet, int first, int second) {
                Node node = selectVm(fleet, first);
                node.platformUnreachable = !node.platformUnreachable;
            }
        },
        CUT_OFF {
            @Override
            void run(VirtualFleet fleet, int first, int second) {
                VmId isolated = selectVm(fleet, first).id;
                for (VmId other : fleet.nodes.keySet()) {
                    fleet.blockLink(isolated, other);
                    fleet.blockLink(other, isolated);
                }
            }
        },
        CUT_REGIONS {
            @Override
            void run(VirtualFleet fleet, int first, int second) {
                for (Node one : fleet.nodes.values()) {
                    for (Node other : fleet.nodes.values()) {
                        if (!one.region.equals(other.region)) {
                            fleet.blockLink(one.id, other.id);
                        }
                    }
                }
            }
        },
        HEAL {
            @Override
            void run(VirtualFleet fleet, int first, int second) {
                fleet.blockedLinks.clear();
                fleet.platformDown = false;
                fleet.nodes.values().forEach(node -> node.platformUnreachable = false);
            }
        },
        PLATFORM {
            @Override
            void run(VirtualFleet fleet, int first, int second) {
                fleet.platformDown = !fleet.platformDown;
            }
        };

        private static final int MAX_VMS = 5;

        abstract void run(VirtualFleet fleet, int first, int second);

        /** Selects a VM that the platform lists. */
        private static Node selectVm(VirtualFleet fleet, int number) {
            List<Node> listed = new ArrayList<>(fleet.nodes.values());
            listed.removeIf(node -> !fleet.isListed(node.id));
            return listed.get(number % listed.size());
        }
    }

    void run(VirtualFleet fleet) {
        fleet.addTrace("action " + this);
        kind.run(fleet, first, second);
    }
}
