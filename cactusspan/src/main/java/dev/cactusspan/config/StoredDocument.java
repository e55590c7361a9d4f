package dev.cactusspan.config;

import dev.cactusspan.id.Revision;

/**
 * A document as stored in the key-value service.
 *
 * @param revision revision of the document; each accepted put or promotion raises it by one
 * @param text JSON with comments, as the operator wrote it
 */
public record StoredDocument(Revision revision, String text) {}
