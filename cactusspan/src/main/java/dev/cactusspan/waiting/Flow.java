package dev.cactusspan.waiting;

import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.RouteId;

/**
 * Those among whom places are divided fairly: the requests or the batches of a client account on
 * one route, which has one trainer at most.
 *
 * @param account the client account, empty if there is none
 * @param route the route
 */
public record Flow(AccountId account, RouteId route) {}
