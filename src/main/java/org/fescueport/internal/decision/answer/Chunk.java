package org.fescueport.internal.decision.answer;

/** A numbered part of an answer. The array must not be modified. */
public record Chunk(int number, byte[] data) {}
