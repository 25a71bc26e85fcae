Feature: A node imports its modules from one file

  Background:
    Given an installed copy of the package with an archive of its modules

  # Guards against an archive that is written but not used, or that hides the
  # extension modules beside it.
  Scenario: A node on the platform reads its modules from the archive
    When the copy imports the node of the platform
    Then most of its modules come from the archive
    And extension modules come from their files
    And OpenTelemetry is not imported
    And garbage is collected again once the node runs

  # Guards against code of another interpreter, which crashes a process that
  # reads it.
  Scenario: An archive of another version of the interpreter is not used
    Given the archive was written by another version of the interpreter
    When the copy imports the node of the platform
    Then no module comes from the archive

  # Guards against a node that can't start because its archive was cut off, for
  # example when a build ran out of space.
  Scenario: A truncated archive is not used
    Given the archive ends after 6 bytes
    When the copy imports the node of the platform
    Then no module comes from the archive
