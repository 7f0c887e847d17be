package org.sequoiahub.core.workspace;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The workspaces of one configuration by their access keys. Immutable. */
public final class Workspaces {

  /** A configuration without workspaces, in which no request needs a key. */
  public static final Workspaces NONE = new Workspaces(Map.of(), List.of());

  private final Map<HashedKey, Workspace> byKey;
  private final List<Workspace> all;

  private Workspaces(Map<HashedKey, Workspace> byKey, List<Workspace> all) {
    this.byKey = byKey;
    this.all = all;
  }

  /**
   * Creates the workspaces with their keys.
   *
   * @throws IllegalArgumentException if two workspaces share a name or a key, which would let one
   *     act as the other
   */
  public static Workspaces of(Map<Workspace, ? extends Collection<HashedKey>> keys) {
    Map<HashedKey, Workspace> byKey = new HashMap<>();
    Map<String, Workspace> byName = new HashMap<>();
    keys.forEach(
        (workspace, hashed) -> {
          Workspace same = byName.put(workspace.name(), workspace);
          checkArgument(same == null, "two workspaces are named %s", workspace.name());
          for (HashedKey key : hashed) {
            checkArgument(key.isPresent(), "a key of %s is unusable", workspace.name());
            Workspace other = byKey.put(key, workspace);
            checkArgument(
                other == null,
                "a key is listed twice: in %s and in %s",
                other == null ? "" : other.name(),
                workspace.name());
          }
        });
    return new Workspaces(byKey, List.copyOf(keys.keySet()));
  }

  /** Returns whether requests need a key. */
  public boolean areConfigured() {
    return !all.isEmpty();
  }

  /** Returns the workspace that holds an access key. */
  public Optional<Workspace> findByKey(HashedKey key) {
    return key.isPresent() ? Optional.ofNullable(byKey.get(key)) : Optional.empty();
  }

  /** Returns all workspaces. */
  public List<Workspace> all() {
    return all;
  }
}
