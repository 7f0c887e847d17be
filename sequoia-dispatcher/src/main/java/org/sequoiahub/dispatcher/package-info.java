/**
 * The dispatcher, which owns runners: it admits and queues inference requests, loads and evicts
 * adapters, and relays, resumes and cancels response streams.
 */
@NullMarked
package org.sequoiahub.dispatcher;

import org.jspecify.annotations.NullMarked;
