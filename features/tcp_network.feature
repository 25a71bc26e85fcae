Feature: TCP of the operating system

  # Guards against connections that wait one pass of the event loop for each
  # connection before them, while their callers leave (incident wkn-mesh-gone).
  Scenario: Connections that wait together are accepted in one pass
    Given 40 connections to a listener that has not run yet
    When the event loop makes 8 passes
    Then all 40 connections are served
