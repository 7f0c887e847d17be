package org.sequoiahub.dispatcher;

import org.jspecify.annotations.Nullable;
import org.sequoiahub.wire.WireConnection;

/**
 * Who asked for a load turn.
 *
 * @param connection the asking dispatcher's connection; null if this process asks itself
 * @param call the asking call
 * @param runner the runner to load on
 * @param adapter the exact adapter name to load
 */
record LoadTurnKey(@Nullable WireConnection connection, long call, String runner, String adapter) {}
