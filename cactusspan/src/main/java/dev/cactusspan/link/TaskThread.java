package dev.cactusspan.link;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscArrayQueue;
import org.jctools.queues.MpscBlockingConsumerArrayQueue;

/**
 * A thread that runs tasks from two bounded queues and calls a tick at a fixed interval. Tasks of
 * the control lane, which carry what the process believes, run before those of clients and targets,
 * however many of these wait; in turn, one of these runs after each {@link #CONTROL_BURST} control
 * tasks.
 */
public final class TaskThread implements Executor, AutoCloseable {
    private static final FluentLogger sLog = FluentLogger.forEnclosingClass();
    private static final long JOIN_MS = 2_000;

    /**
     * Maximum number of control tasks in a row while others wait. A response of the store brings
     * one task, so that news of the store as a whole go first.
     */
    private static final int CONTROL_BURST = 32;

    /** Weight of a task in the mean duration of tasks; the mean follows in some hundred tasks. */
    private static final double MEAN_WEIGHT = 0.01;

    /** Delay before a full control lane is tried again, in nanoseconds. */
    private static final long FULL_WAIT_NS = 1_000_000;

    private final MpscBlockingConsumerArrayQueue<Runnable> mQueue;
    private final MpscArrayQueue<Runnable> mControl;
    private final Deque<Runnable> mOwnTasks = new ArrayDeque<>();
    private long mTickMs;
    private Runnable mTick = () -> {};
    private final Thread mThread;
    private int mControlInRow;
    private double mMeanTaskNs;
    private volatile boolean mIsWaiting;
    private volatile boolean mClosed;

    /**
     * Creates a thread; {@link #start} starts it.
     *
     * @param name name of the thread
     * @param capacityTasks maximum number of queued tasks of each lane
     * @param tickMs interval of the tick
     */
    public TaskThread(String name, int capacityTasks, long tickMs) {
        mQueue = new MpscBlockingConsumerArrayQueue<>(capacityTasks);
        mControl = new MpscArrayQueue<>(capacityTasks);
        mTickMs = tickMs;
        mThread = new Thread(this::run, name);
        mThread.setDaemon(true);
    }

    /**
     * Starts the thread.
     *
     * @param tick called on the thread at each interval
     */
    public void start(Runnable tick) {
        mTick = tick;
        mThread.start();
    }

    /**
     * Queues a task if there is room.
     *
     * @param task the task
     * @return false if the queue is full or the thread is closed
     */
    public boolean tryExecute(Runnable task) {
        return !mClosed && mQueue.offer(task);
    }

    /**
     * Queues a task, and waits while the queue is full. Waiting slows down the caller, which limits
     * how much it reads from its sockets. The thread itself never waits for its own queue.
     *
     * @param task the task
     */
    @Override
    public void execute(Runnable task) {
        if (Thread.currentThread() == mThread) {
            mOwnTasks.add(task);
            return;
        }
        try {
            mQueue.put(task);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Returns the control lane. Its tasks run in their order, before tasks that were queued by
     * {@link #execute}.
     *
     * @return queues tasks, and waits while the lane is full
     */
    public Executor control() {
        return this::executeControl;
    }

    private void executeControl(Runnable task) {
        if (Thread.currentThread() == mThread) {
            mOwnTasks.add(task);
            return;
        }
        while (!mControl.offer(task)) {
            if (mClosed) {
                return;
            }
            LockSupport.parkNanos(FULL_WAIT_NS);
        }
        if (mIsWaiting) {
            // A full queue needs no wake-up: the thread has work.
            mQueue.offer(TaskThread::wakeUp);
        }
    }

    /**
     * Sets the interval of the tick from the next one on. Called on the thread itself.
     *
     * @param tickMs interval in milliseconds
     */
    public void setTickMs(long tickMs) {
        mTickMs = tickMs;
    }

    /**
     * Returns how long the queued tasks are expected to take. Called on the thread itself.
     *
     * @return time in milliseconds
     */
    public long queueMs() {
        return TimeUnit.NANOSECONDS.toMillis((long) (mMeanTaskNs * size()));
    }

    /** Does nothing; queued to wake the thread while it waits for tasks other than control. */
    private static void wakeUp() {}

    /**
     * Returns the number of queued tasks.
     *
     * @return the number of tasks
     */
    public int size() {
        return mQueue.size() + mControl.size();
    }

    private void run() {
        long nextTickNs = System.nanoTime();
        while (!mClosed) {
            try {
                Runnable task = next(nextTickNs - System.nanoTime());
                if (task != null) {
                    long startedNs = System.nanoTime();
                    task.run();
                    mMeanTaskNs += MEAN_WEIGHT * (System.nanoTime() - startedNs - mMeanTaskNs);
                }
                if (System.nanoTime() >= nextTickNs) {
                    long tickNs = System.nanoTime();
                    mTick.run();
                    nextTickNs = tickNs + TimeUnit.MILLISECONDS.toNanos(mTickMs);
                }
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException e) {
                sLog.atSevere().withCause(e).log("task failed on %s", mThread.getName());
            }
        }
    }

    private Runnable next(long waitNs) throws InterruptedException {
        if (!mOwnTasks.isEmpty()) {
            return mOwnTasks.poll();
        }
        Runnable control = mControlInRow < CONTROL_BURST ? mControl.poll() : null;
        if (control != null) {
            mControlInRow++;
            return control;
        }
        mControlInRow = 0;
        Runnable task = mQueue.poll();
        return task != null ? task : await(waitNs);
    }

    private Runnable await(long waitNs) throws InterruptedException {
        if (waitNs <= 0) {
            return mControl.poll();
        }
        mIsWaiting = true;
        try {
            // A control task that came before the thread said that it waits woke nobody.
            Runnable control = mControl.poll();
            return control != null ? control : mQueue.poll(waitNs, TimeUnit.NANOSECONDS);
        } finally {
            mIsWaiting = false;
        }
    }

    @Override
    public void close() {
        mClosed = true;
        mThread.interrupt();
        try {
            mThread.join(JOIN_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
