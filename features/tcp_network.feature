Feature: TCP connections of the operating system

  # Guards against accepting only one connection per pass of the event loop: the
  # last of many then waits for many passes while its caller gives up (incident
  # wkn-mesh-gone).
  Scenario: Pending connections are accepted in one pass
    Given 40 connections to a listener that has not run yet
    When the event loop makes 8 passes
    Then all 40 connections are served
