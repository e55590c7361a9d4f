package dev.cactusspan.sample;

import java.util.BitSet;
import java.util.List;

/**
 * What is durable of a trainer's step. A delivery exists only once its number and slots stand here.
 *
 * @param step number of the step
 * @param digest digest of the step
 * @param total slots of the step
 * @param owner names the start of the entry that holds the step
 * @param delivery number of the last delivery; numbers rise over all steps of the trainer
 * @param held number that the trainer held when the last delivery was made
 * @param pending slots of the last delivery, empty if it was voided
 * @param delivered bits of the slots delivered, those of the last delivery among them
 */
public record StepLedger(
        long step,
        String digest,
        int total,
        String owner,
        long delivery,
        long held,
        List<Integer> pending,
        byte[] delivered) {

    /**
     * Starts a step.
     *
     * @param spec the step
     * @param owner names the start of the entry
     * @param delivery number of the trainer's last delivery before this step
     * @return the ledger without deliveries
     */
    public static StepLedger start(StepSpec spec, String owner, long delivery) {
        int total = spec.slots().size();
        return new StepLedger(
                spec.step(),
                spec.digest(),
                total,
                owner,
                delivery,
                delivery,
                List.of(),
                new byte[0]);
    }

    // Operations

    /**
     * Returns this ledger with a further delivery.
     *
     * @param heldNumber number that the trainer holds
     * @param slots slots of the delivery
     * @return the ledger
     */
    public StepLedger withDelivery(long heldNumber, List<Integer> slots) {
        BitSet bits = deliveredSlots();
        slots.forEach(bits::set);
        return with(owner, delivery + 1, heldNumber, slots, bits);
    }

    /**
     * Returns this ledger with the last delivery voided, so that its slots are open again. Its
     * number is not used again.
     *
     * @return the ledger
     */
    public StepLedger withLastDeliveryVoided() {
        BitSet bits = deliveredSlots();
        pending.forEach(bits::clear);
        return with(owner, delivery, held, List.of(), bits);
    }

    /**
     * Returns this ledger with another owner.
     *
     * @param newOwner names the start of the entry
     * @return the ledger
     */
    public StepLedger withOwner(String newOwner) {
        return with(newOwner, delivery, held, pending, deliveredSlots());
    }

    private StepLedger with(
            String newOwner, long number, long heldNumber, List<Integer> slots, BitSet bits) {
        return new StepLedger(
                step,
                digest,
                total,
                newOwner,
                number,
                heldNumber,
                List.copyOf(slots),
                bits.toByteArray());
    }

    // Accessors

    /**
     * Returns the delivered slots.
     *
     * @return a copy of the bits
     */
    public BitSet deliveredSlots() {
        return BitSet.valueOf(delivered);
    }

    /**
     * Tells whether all slots are delivered.
     *
     * @return true if the step is whole
     */
    public boolean isWhole() {
        return deliveredSlots().cardinality() == total;
    }
}
