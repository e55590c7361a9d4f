package dev.cactusspan.peer;

import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.VmId;

/**
 * The record that a process of the system registers in the store.
 *
 * @param vm its VM
 * @param boot differs after each start of the process
 * @param zone its availability zone
 * @param ip its IP address
 * @param linkPort port for links from other processes
 * @param isLeaving true if it is about to stop
 */
public record NodeRecord(
        VmId vm, String boot, AvailabilityZoneId zone, String ip, int linkPort, boolean isLeaving) {
    /** Separates VM and boot in an owner name. */
    public static final String BOOT_SEPARATOR = "#";

    /**
     * Returns the owner name, which is unique to this start of the process.
     *
     * @return VM and boot
     */
    public String owner() {
        return vm.value() + BOOT_SEPARATOR + boot;
    }

    /**
     * Returns this record, marked as about to stop.
     *
     * @return the record
     */
    public NodeRecord asLeaving() {
        return new NodeRecord(vm, boot, zone, ip, linkPort, true);
    }
}
