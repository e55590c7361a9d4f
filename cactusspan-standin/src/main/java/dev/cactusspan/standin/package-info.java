/** Stand-ins for the platform, model engines and plain services, and a load and demo command. */
package dev.cactusspan.standin;
