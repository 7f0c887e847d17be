package org.sequoiahub.entry;

import org.sequoiahub.runtime.process.ProcessMain;
import org.sequoiahub.schema.settings.EntrySettings;

/** The main class of the {@code sequoia-entry} process. */
public final class EntryMain {

  private EntryMain() {}

  /** Runs the entry until SIGTERM. */
  public static void main(String[] arguments) {
    ProcessMain.run(
        "sequoia-entry",
        EntrySettings.getDefaultInstance(),
        arguments,
        settings -> {
          Entry entry = Entry.start(settings);
          return entry::close;
        });
  }
}
