package dev.cactusspan.benchmark;

import dev.cactusspan.config.StoredDocument;
import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.EnvironmentId;
import dev.cactusspan.id.Revision;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.TargetId;
import dev.cactusspan.id.VmId;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.membership.VmRecord;
import dev.cactusspan.routing.Candidate;
import java.util.ArrayList;
import java.util.List;

/** Creates the inputs of the benchmarks. */
final class Fixtures {
    private static final int ZONES = 11;

    private Fixtures() {}

    static StoredDocument document(int accounts) {
        StringBuilder text = new StringBuilder("{\"environment\":\"e\",");
        text.append("\"availability_zones\":[{\"name\":\"z0\",\"region\":\"r\"}],");
        text.append("\"models\":[{\"name\":\"m\",\"staleness_bound_versions\":2}],");
        text.append("\"services\":[],\"trainers\":[],\"accounts\":[");
        for (int i = 0; i < accounts; i++) {
            text.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"a")
                    .append(i)
                    .append("\",\"key_hashes\":[\"sha256:")
                    .append(String.format("%064x", i))
                    .append("\"],\"weight\":1,\"requests_per_s\":10,\"burst_requests\":10,")
                    .append("\"max_in_flight\":10}");
        }
        text.append("],\"routes\":[{\"name\":\"r\",\"kind\":\"completions\",\"service\":\"m\",");
        text.append("\"class\":\"interactive\",\"accounts\":[\"*\"]}],");
        text.append("\"bounds\":{\"body_bytes\":1000,\"answer_bytes\":1000,");
        text.append("\"request_deadline_ms\":1000,\"claim_ttl_s\":60,\"config_age_ms\":8000}}");
        return new StoredDocument(Revision.of(1), text.toString());
    }

    static List<Candidate> candidates(int count) {
        List<Candidate> candidates = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            candidates.add(
                    new Candidate(
                            TargetId.of("t" + i),
                            AvailabilityZoneId.of("z" + i % ZONES),
                            i % 7,
                            i % 5,
                            16,
                            WeightVersion.of(1)));
        }
        return candidates;
    }

    static List<VmRecord> vms(String name, VmRecord.Role role, int count) {
        List<VmRecord> vms = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            vms.add(
                    new VmRecord(
                            VmId.of(name + i),
                            EnvironmentId.of("e"),
                            AvailabilityZoneId.of("z" + i % ZONES),
                            role,
                            ServiceId.of("m"),
                            "10.0.0.1",
                            1,
                            VmRecord.State.LIVE));
        }
        return vms;
    }
}
