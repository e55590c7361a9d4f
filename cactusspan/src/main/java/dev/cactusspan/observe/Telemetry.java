package dev.cactusspan.observe;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import dev.cactusspan.config.EnvironmentDocument.RequestClass;
import dev.cactusspan.id.AccountId;
import io.prometheus.client.Collector;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.dropwizard.samplebuilder.SampleBuilder;
import io.prometheus.client.exporter.common.TextFormat;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * Metrics of a process. A metric's registry name is {@code name;label=value;...}; the text format
 * shows the labels as labels.
 */
public final class Telemetry {
    private static final char LABEL_SEPARATOR = ';';

    private final MetricRegistry mRegistry = new MetricRegistry();
    private final CollectorRegistry mCollectors = new CollectorRegistry();

    private Telemetry() {
        mCollectors.register(new DropwizardExports(mRegistry, new LabelBuilder()));
    }

    /**
     * Creates an empty set of metrics.
     *
     * @return the metrics
     */
    public static Telemetry create() {
        Telemetry telemetry = new Telemetry();
        Runtime runtime = Runtime.getRuntime();
        telemetry.gauge("heap_used_bytes", () -> runtime.totalMemory() - runtime.freeMemory());
        telemetry.gauge("log_lines_dropped", DroppedLines::count);
        return telemetry;
    }

    /**
     * Counts an event.
     *
     * @param name metric name
     * @param labels alternating label names and values
     */
    public void count(String name, String... labels) {
        add(name, 1, labels);
    }

    /**
     * Adds to a counter.
     *
     * @param name metric name
     * @param amount what to add
     * @param labels alternating label names and values
     */
    public void add(String name, long amount, String... labels) {
        Counter counter = mRegistry.counter(registryName(name, labels));
        counter.inc(amount);
    }

    /**
     * Records a value of a request.
     *
     * @param name metric name with its unit
     * @param account the client account
     * @param requestClass class of the request
     * @param value the value
     */
    public void record(String name, AccountId account, RequestClass requestClass, long value) {
        Histogram histogram =
                mRegistry.histogram(
                        registryName(
                                name,
                                "account",
                                account.value(),
                                "class",
                                requestClass.wireName()));
        histogram.update(value);
    }

    /**
     * Records a value.
     *
     * @param name metric name with its unit
     * @param label label name
     * @param labelValue label value
     * @param value the value
     */
    public void record(String name, String label, String labelValue, long value) {
        mRegistry.histogram(registryName(name, label, labelValue)).update(value);
    }

    /**
     * Shows a value whenever metrics are read.
     *
     * @param name metric name
     * @param value gives the present value on any thread
     */
    public void gauge(String name, Supplier<Number> value) {
        mRegistry.registerGauge(name, (Gauge<Number>) value::get);
    }

    /**
     * Returns all metrics in the text format of Prometheus.
     *
     * @return the text
     */
    public String text() {
        StringWriter writer = new StringWriter();
        try {
            TextFormat.write004(writer, mCollectors.metricFamilySamples());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return writer.toString();
    }

    private static String registryName(String name, String... labels) {
        StringBuilder builder = new StringBuilder(name);
        for (int i = 0; i < labels.length; i += 2) {
            builder.append(LABEL_SEPARATOR).append(labels[i]).append('=').append(labels[i + 1]);
        }
        return builder.toString();
    }

    /** Splits a registry name into name and labels. */
    private static final class LabelBuilder implements SampleBuilder {
        @Override
        public Collector.MetricFamilySamples.Sample createSample(
                String registryName,
                String suffix,
                List<String> extraNames,
                List<String> extraValues,
                double value) {
            String[] parts = registryName.split(String.valueOf(LABEL_SEPARATOR), -1);
            List<String> names = new ArrayList<>(extraNames);
            List<String> values = new ArrayList<>(extraValues);
            for (int i = 1; i < parts.length; i++) {
                int equals = parts[i].indexOf('=');
                names.add(parts[i].substring(0, equals));
                values.add(parts[i].substring(equals + 1));
            }
            String name = "cactusspan_" + parts[0] + (suffix == null ? "" : suffix);
            return new Collector.MetricFamilySamples.Sample(name, names, values, value);
        }
    }
}
