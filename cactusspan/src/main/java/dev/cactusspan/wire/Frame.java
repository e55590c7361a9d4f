package dev.cactusspan.wire;

import dev.cactusspan.id.Revision;

/**
 * A message with the sender's revision.
 *
 * @param revision revision of the sender's configuration
 * @param message the message
 */
public record Frame(Revision revision, Message message) {}
