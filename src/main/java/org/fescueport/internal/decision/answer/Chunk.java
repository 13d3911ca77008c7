package org.fescueport.internal.decision.answer;

/** One numbered part of an answer; the bytes aren't changed after construction. */
public record Chunk(int number, byte[] data) {}
