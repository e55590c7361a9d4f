package review3;

import java.nio.file.Path;

/** Runs one case and exits as the review asks: 1 if the rule was broken, 0 if it held, else 2. */
final class Case {
    /** A rule that is tried. */
    interface Trial {
        /** Returns whether the rule held. */
        boolean run(Deployment deployment, boolean isDisturbed) throws Exception;
    }

    /** The case could not run, so that it shows nothing. */
    static final class NotRunException extends Exception {
        private static final long serialVersionUID = 1L;

        NotRunException(String reason) {
            super(reason);
        }
    }

    private Case() {}

    public static void main(String[] args) throws Exception {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        Trial trial =
                switch (args[0]) {
                    case "equal-requests" -> new EqualRequests();
                    case "read-bodies" -> new ReadBodies();
                    default -> throw new IllegalArgumentException(args[0]);
                };
        boolean isDisturbed = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Record record = new Record(Path.of(args[1]))) {
            record.add("case    %s, %s", args[0], isDisturbed ? "with the disruption" : "without the disruption");
            try (Deployment deployment = new Deployment(record)) {
                code = trial.run(deployment, isDisturbed) ? 0 : 1;
            } catch (NotRunException e) {
                record.add("error   %s", e.getMessage());
            } catch (Exception e) {
                record.add("error   %s", e);
                e.printStackTrace();
            }
            record.add("exit    %d", code);
        }
        System.exit(code);
    }

    /**
     * Tells whether the rule on processes that end by themselves is broken: on a tenth of the
     * machines in use, two at least, three times in the day.
     */
    static boolean isFault(Deployment deployment) {
        long ended = deployment.entries.stream().filter(e -> e.ownEnds() >= 3).count();
        return ended >= Math.max(2, Math.ceil(deployment.entries.size() / 10.0));
    }

    static String ownEnds(Deployment deployment) {
        StringBuilder text = new StringBuilder();
        for (Entry entry : deployment.entries) {
            text.append(text.isEmpty() ? "" : ", ").append(entry.name()).append(' ').append(entry.ownEnds());
        }
        return text.toString();
    }

    static void start(Deployment deployment, int entries) throws Exception {
        deployment.startEntries(entries);
        if (!deployment.awaitReady(30_000)) {
            throw new NotRunException("an entry did not become ready");
        }
        // The entries have seen each other, and a sweeper is chosen.
        Thread.sleep(3_000);
    }
}
