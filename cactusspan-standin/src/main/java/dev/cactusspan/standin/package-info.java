/** Stand-ins for the platform, engines and plain services; commands for load and measurements. */
package dev.cactusspan.standin;
