package org.sequoiahub.dispatcher;

import org.jspecify.annotations.Nullable;
import org.sequoiahub.wire.WireConnection;

/**
 * Identifies a request for a load turn.
 *
 * @param connection the requesting dispatcher's connection; null for a request of this process
 * @param call the call number on that connection; 0 for a request of this process
 * @param runner the runner to load on; empty for a request of another dispatcher
 * @param adapter the exact name of the adapter to load; empty for a request of another dispatcher
 */
record LoadTurnKey(@Nullable WireConnection connection, long call, String runner, String adapter) {}
