package dev.cactusspan.usage;

import dev.cactusspan.id.EnvironmentId;

/**
 * The usage report of one window. Usage that becomes known after its window was sealed is included
 * in the next report.
 *
 * @param environment the environment
 * @param window number of the window: its start divided by its length
 * @param usage usage by client account
 */
public record UsageReport(EnvironmentId environment, long window, UsageTotals usage) {}
