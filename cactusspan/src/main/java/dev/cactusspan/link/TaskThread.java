package dev.cactusspan.link;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.jctools.queues.MpscBlockingConsumerArrayQueue;

/** A thread that runs tasks from a bounded queue and calls a tick at a fixed interval. */
public final class TaskThread implements Executor, AutoCloseable {
    private static final FluentLogger sLog = FluentLogger.forEnclosingClass();
    private static final long JOIN_MS = 2_000;

    private final MpscBlockingConsumerArrayQueue<Runnable> mQueue;
    private final Deque<Runnable> mOwnTasks = new ArrayDeque<>();
    private final long mTickMs;
    private Runnable mTick = () -> {};
    private final Thread mThread;
    private volatile boolean mClosed;

    /**
     * Creates a thread; {@link #start} starts it.
     *
     * @param name name of the thread
     * @param capacityTasks maximum number of queued tasks
     * @param tickMs interval of the tick
     */
    public TaskThread(String name, int capacityTasks, long tickMs) {
        mQueue = new MpscBlockingConsumerArrayQueue<>(capacityTasks);
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
     * Returns the number of queued tasks.
     *
     * @return the number of tasks
     */
    public int size() {
        return mQueue.size();
    }

    private void run() {
        long nextTickNs = System.nanoTime();
        while (!mClosed) {
            try {
                Runnable task = next(nextTickNs - System.nanoTime());
                if (task != null) {
                    task.run();
                }
                if (System.nanoTime() >= nextTickNs) {
                    nextTickNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mTickMs);
                    mTick.run();
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
        return waitNs <= 0 ? mQueue.poll() : mQueue.poll(waitNs, TimeUnit.NANOSECONDS);
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
