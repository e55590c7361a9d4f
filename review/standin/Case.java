import java.nio.file.Path;

/** Runs a case and ends with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
interface Case {
    int BROKEN = 1;
    int HELD = 0;
    int NOT_RUN = 2;

    /**
     * Plays the case.
     *
     * @param deployment a deployment whose entries are not started yet
     * @param record what is sent, answered and run
     * @param hasTrouble whether the disruption happens
     * @return one of the results above
     */
    int play(Deployment deployment, Record record, boolean hasTrouble) throws Exception;

    /**
     * Runs a case as a program.
     *
     * @param arguments the root of the repository, the file of the record, and 0 for no disruption
     * @param test the case
     */
    static void main(String[] arguments, Case test) {
        int result = NOT_RUN;
        try (Record record = new Record(Path.of(arguments[1]))) {
            Deployment deployment = new Deployment(Path.of(arguments[0]), record);
            try {
                result = test.play(deployment, record, !arguments[2].equals("0"));
            } finally {
                deployment.close();
            }
            record.report("result: %d", result);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(result);
    }
}
