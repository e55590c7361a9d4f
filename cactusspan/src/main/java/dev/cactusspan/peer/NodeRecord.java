package dev.cactusspan.peer;

import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.VmId;

/**
 * A process of the system as it registers itself.
 *
 * @param vm its VM
 * @param boot differs after each start of the process
 * @param zone its availability zone
 * @param ip its address
 * @param linkPort port for links from other processes
 * @param isLeaving true if it stops soon
 */
public record NodeRecord(
        VmId vm, String boot, AvailabilityZoneId zone, String ip, int linkPort, boolean isLeaving) {
    /** Stands between VM and boot in an owner's name. */
    public static final String BOOT_SEPARATOR = "#";

    /**
     * Returns the name that this start of the process goes by as an owner.
     *
     * @return VM and boot
     */
    public String owner() {
        return vm.value() + BOOT_SEPARATOR + boot;
    }

    /**
     * Returns this record of a process that stops soon.
     *
     * @return the record
     */
    public NodeRecord asLeaving() {
        return new NodeRecord(vm, boot, zone, ip, linkPort, true);
    }
}
