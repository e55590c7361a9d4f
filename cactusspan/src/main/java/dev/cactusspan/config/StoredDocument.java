package dev.cactusspan.config;

import dev.cactusspan.id.Revision;

/**
 * A document as the key-value service holds it.
 *
 * @param revision revision of the document; each accepted put or promote raises it by one
 * @param text JSON with comments, as the operator wrote it
 */
public record StoredDocument(Revision revision, String text) {}
