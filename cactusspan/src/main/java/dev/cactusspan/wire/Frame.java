package dev.cactusspan.wire;

import dev.cactusspan.id.Revision;

/**
 * A message with the revision of its sender.
 *
 * @param revision revision of the sender's configuration
 * @param message the message
 */
public record Frame(Revision revision, Message message) {}
