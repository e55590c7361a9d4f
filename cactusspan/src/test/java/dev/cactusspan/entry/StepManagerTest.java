package dev.cactusspan.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.fasterxml.jackson.databind.JsonNode;
import dev.cactusspan.config.EnvironmentDocument.Trainer;
import dev.cactusspan.config.KeyHash;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.TrainerId;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.platform.FakeKeyValues;
import dev.cactusspan.result.Failure;
import dev.cactusspan.sample.StepSpec;
import dev.cactusspan.text.JsonText;
import dev.cactusspan.weight.WeightVersions;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Tests steps with lost responses, crashed entries, takeovers, lost deliveries and new weights. */
final class StepManagerTest {
    private static final Lane LANE = new Lane(TrainerId.of("lantern-trainer-1"), 0);
    private static final ServiceId MODEL = ServiceId.of("lantern-lm");
    private static final long STALENESS_BOUND = 2;
    private static final int DELIVERY = 4;
    private static final int SLOTS = 6;
    private static final String[] KEYS = {"a0", "a1", "a2", "a3", "a4", "a5", "a6", "a7"};

    private EntryHarness.Clock mClock;
    private FakeKeyValues mKeyValues;
    private Random mRandom;
    private List<EntryHarness> mEntries;
    private EntryHarness mEntry;
    private long mActive;
    private int mStartedEntries;
    private boolean mIsEntryLost;

    private void start(long seed) {
        mRandom = new Random(seed);
        mClock = new EntryHarness.Clock();
        mKeyValues = new FakeKeyValues(mRandom);
        mEntries = new ArrayList<>();
        mStartedEntries = 0;
        mIsEntryLost = false;
        EntryHarness.putDocument(mKeyValues, KEYS);
        mActive = 0;
        raiseWeights();
        addEntry();
        addEntry();
        mEntry = mEntries.get(0);
    }

    private void raiseWeights() {
        mActive++;
        WeightVersion version = WeightVersion.of(mActive);
        mKeyValues.put(
                WeightStore.key(EntryHarness.ENVIRONMENT),
                JsonText.write(WeightVersions.EMPTY.raise(MODEL, version, version)));
    }

    private void addEntry() {
        FakeSideProcesses sides = new FakeSideProcesses(mRandom);
        sides.setVersion(mActive);
        EntryHarness entry =
                new EntryHarness(
                        "e" + mStartedEntries++, mKeyValues, sides, mClock, mRandom.nextLong());
        mEntries.add(entry);
        while (entry.follower().configuration().isEmpty()
                || entry.follower().desiredWeights().desired(MODEL).active().number() == 0) {
            runTurn();
        }
        entry.listVms();
    }

    /** Crashes one entry and starts another. */
    private void replaceEntry() {
        EntryHarness crashed = mEntries.remove(mRandom.nextInt(mEntries.size()));
        addEntry();
        if (crashed == mEntry) {
            mEntry = mEntries.get(mRandom.nextInt(mEntries.size()));
        }
    }

    private void runTurn() {
        mKeyValues.step();
        mClock.advance(5);
        for (EntryHarness entry : mEntries) {
            entry.sides().runNext();
            entry.tick();
        }
    }

    private void faults(double share) {
        mEntries.forEach(entry -> entry.sides().setFaultShare(share));
        mKeyValues.faults(share / 2, share / 2);
    }

    private void submit(StepSpec spec) {
        Trainer trainer =
                new Trainer(LANE.trainer(), AccountId.of("lantern-trainer"), MODEL, DELIVERY);
        mEntry.steps().submit(LANE, trainer, KeyHash.ofKey("a7"), spec, result -> {});
    }

    /** A step that is submitted again while it is being opened is one step. */
    @Property(seed = "32", tries = 60)
    void shouldAcceptAStepThatIsSubmittedAgainWhileItIsOpened(@ForAll long seed) {
        start(seed);
        List<Boolean> outcomes = submitTwice();
        assertThat(outcomes, is(List.of(true, true)));
    }

    @Property(seed = "33", tries = 60)
    void shouldRunASlotOnceOfAStepThatIsSubmittedAgainWhileItIsOpened(@ForAll long seed) {
        start(seed);
        submitTwice();
        assertThat(runs(), is(SLOTS));
    }

    /** A step that comes while another one of its lane is opened waits, and runs nothing. */
    @Property(seed = "34", tries = 60)
    void shouldOpenTheStepThatWasSubmittedFirst(@ForAll long seed) {
        start(seed);
        List<Optional<Long>> accepted = submitBoth(oneGroup(1), oneGroup(2));
        assertThat(accepted, is(List.of(Optional.of(1L), Optional.empty())));
        assertThat(runs(), is(SLOTS));
    }

    private List<Boolean> submitTwice() {
        return submitBoth(oneGroup(1), oneGroup(1)).stream().map(Optional::isPresent).toList();
    }

    private static StepSpec oneGroup(long step) {
        return new StepSpec(step, List.of(new StepSpec.Group("prompt", SLOTS, 4)));
    }

    /** Submits two steps and returns the step that each reply names, empty after a refusal. */
    private List<Optional<Long>> submitBoth(StepSpec first, StepSpec second) {
        List<Optional<Long>> outcomes = new ArrayList<>();
        submit(first, outcomes);
        for (int i = mRandom.nextInt(6); i > 0; i--) {
            runTurn();
        }
        submit(second, outcomes);
        for (int i = 0; i < 400; i++) {
            runTurn();
        }
        return outcomes;
    }

    private void submit(StepSpec spec, List<Optional<Long>> outcomes) {
        Trainer trainer =
                new Trainer(LANE.trainer(), AccountId.of("lantern-trainer"), MODEL, DELIVERY);
        mEntry.steps()
                .submit(
                        LANE,
                        trainer,
                        KeyHash.ofKey("a7"),
                        spec,
                        r ->
                                outcomes.add(
                                        r.map(ledger -> Optional.of(ledger.step()))
                                                .getOrElse(Optional.empty())));
    }

    private int runs() {
        return mEntry.sides().runCounts().values().stream().mapToInt(n -> n).sum();
    }

    @Property(seed = "31", tries = 150)
    void shouldDeliverEachSampleOnceWithinStalenessBoundDespiteFailures(@ForAll long seed) {
        start(seed);
        List<StepSpec.Group> groups = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            groups.add(new StepSpec.Group("prompt " + i, 6, 4));
        }
        StepSpec spec = new StepSpec(1, groups);
        FakeTrainer trainer = new FakeTrainer();
        int turns = 0;
        while (!trainer.mIsComplete && turns < 60_000) {
            turns++;
            boolean isCalm = turns > 8_000;
            faults(isCalm ? 0 : 0.2);
            if (mIsEntryLost || (!isCalm && mRandom.nextInt(300) == 0)) {
                mIsEntryLost = false;
                replaceEntry();
                trainer.mIsWaiting = false;
            }
            if (!isCalm && mRandom.nextInt(150) == 0) {
                raiseWeights();
            }
            if (mRandom.nextInt(50) == 0) {
                mEntries.forEach(entry -> entry.sides().setVersion(mActive));
            }
            trainer.act(spec);
            runTurn();
        }
        assertThat("complete after " + turns, trainer.mIsComplete, is(true));
        assertThat(trainer.mSlots.size(), is(48));
        assertThat(trainer.mDuplicates, is(0));
    }

    /** A trainer that loses some deliveries and polls again. */
    private final class FakeTrainer implements DeliveryPoll.Reply {
        private final Set<String> mSlots = new HashSet<>();
        private long mAfter;
        private int mDuplicates;
        private int mPoll;
        private boolean mIsWaiting;
        private boolean mIsComplete;

        void act(StepSpec spec) {
            if (mIsWaiting) {
                // Occasionally the trainer abandons a poll and polls again.
                mIsWaiting = mRandom.nextInt(200) != 0;
                return;
            }
            mIsWaiting = true;
            if (mRandom.nextInt(8) == 0) {
                mEntry = mEntries.get(mRandom.nextInt(mEntries.size()));
            }
            if (mRandom.nextBoolean()) {
                submit(spec);
            }
            int poll = ++mPoll;
            long nowMs = mClock.nowMs();
            mEntry.steps()
                    .poll(LANE, new DeliveryPoll(mAfter, nowMs + 50, nowMs + 500, only(poll)));
        }

        /** Accepts replies to the current poll only, as a trainer closes earlier connections. */
        private DeliveryPoll.Reply only(int poll) {
            return new DeliveryPoll.Reply() {
                @Override
                public void deliver(byte[] body) {
                    if (poll == mPoll) {
                        FakeTrainer.this.deliver(body);
                    }
                }

                @Override
                public void notReady() {
                    if (poll == mPoll) {
                        FakeTrainer.this.notReady();
                    }
                }

                @Override
                public void complete(long step, long delivery) {
                    if (poll == mPoll) {
                        FakeTrainer.this.complete(step, delivery);
                    }
                }

                @Override
                public void fail(Failure failure) {
                    if (poll == mPoll) {
                        FakeTrainer.this.fail(failure);
                    }
                }
            };
        }

        @Override
        public void deliver(byte[] body) {
            mIsWaiting = false;
            if (mRandom.nextInt(3) == 0) {
                // The delivery is lost in transit, sometimes together with the entry.
                mIsEntryLost = mRandom.nextInt(3) == 0;
                return;
            }
            JsonNode delivery = JsonText.parse("d", new String(body, StandardCharsets.UTF_8)).get();
            assertThat(delivery.get("delivery").asLong(), greaterThan(mAfter));
            mAfter = delivery.get("delivery").asLong();
            long active = mEntry.follower().desiredWeights().desired(MODEL).active().number();
            for (JsonNode sample : delivery.get("samples")) {
                String slot = sample.get("group") + "/" + sample.get("index");
                mDuplicates += mSlots.add(slot) ? 0 : 1;
                long version = sample.get("versions").get(0).get("version").asLong();
                assertThat(active - version, lessThanOrEqualTo(STALENESS_BOUND));
            }
        }

        @Override
        public void notReady() {
            mIsWaiting = false;
        }

        @Override
        public void complete(long step, long delivery) {
            mIsComplete = true;
        }

        @Override
        public void fail(Failure failure) {
            mIsWaiting = false;
        }
    }
}
