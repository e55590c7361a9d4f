package dev.cactusspan.membership;

import com.google.common.hash.Hashing;
import dev.cactusspan.id.VmId;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;

/**
 * Rendezvous hashing over VMs. Each key has its own order; adding or removing a VM does not reorder
 * the others.
 */
public final class Rendezvous {
    private Rendezvous() {}

    /**
     * Returns the rank of a VM for a key.
     *
     * @param key the key
     * @param vm the VM
     * @param vms all VMs
     * @return number of other VMs that are ordered before it
     */
    public static int rank(String key, VmId vm, List<VmRecord> vms) {
        long own = score(key, vm);
        int rank = 0;
        for (VmRecord other : vms) {
            boolean isOther = !other.vm().equals(vm);
            if (isOther && isBefore(score(key, other.vm()), other.vm(), own, vm)) {
                rank++;
            }
        }
        return rank;
    }

    /**
     * Sorts VMs for a key.
     *
     * @param key the key
     * @param vms the VMs
     * @return the VMs by rank
     */
    public static List<VmId> order(String key, List<VmRecord> vms) {
        Comparator<VmId> byScore = Comparator.comparingLong(vm -> -(score(key, vm) >> 1));
        return vms.stream()
                .map(VmRecord::vm)
                .sorted(byScore.thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    private static boolean isBefore(long score, VmId vm, long otherScore, VmId otherVm) {
        if (score != otherScore) {
            return score > otherScore;
        }
        return vm.compareTo(otherVm) < 0;
    }

    private static long score(String key, VmId vm) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(key, StandardCharsets.UTF_8)
                .putChar('/')
                .putString(vm.value(), StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}
