/**
 * Stand-ins for the platform, model engines and plain services, and commands for load, measurements
 * and demos.
 */
package dev.cactusspan.standin;
