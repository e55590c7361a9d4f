package dev.cactusspan.usage;

import dev.cactusspan.id.EnvironmentId;

/**
 * The report of one window. Usage that became known after its window was sealed is part of the next
 * report.
 *
 * @param environment the environment
 * @param window number of the window: its start divided by its length
 * @param usage usage by client account
 */
public record UsageReport(EnvironmentId environment, long window, UsageTotals usage) {}
