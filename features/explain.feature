Feature: The command explain shows what the logs say about one request

  # Guards against an operator who has to search the logs of all nodes by hand
  # and to put their lines in order.
  Scenario: The lines of several nodes are put in order
    Given logs of two hosts with a booking that made a call and was refused
    When the command "explain af81" runs on the logs
    Then it exits with 0 and prints these lines in this order
      | line                                                                                   |
      | request af81: status 502, refused as upstream_lost                                      |
      | +0 ms h1 gateway: attempt at i-1 failed with instance_slow: slowdown factor 5.0; the request has not run there, 900 ms left |
      | +40 ms h2 door: the instance failed with upstream_lost: connection lost                 |
      | call af81.01: status 200 after 20 ms                                                    |

  # Guards against a report that looks complete although lines are missing.
  Scenario: What the logs lack is said
    Given logs of two hosts with a booking that made a call and was refused
    And the log of the host that took it is missing
    When the command "explain af81" runs on the logs
    Then it exits with 0 and prints these lines in this order
      | line                                              |
      | request af81: its end is not in the logs          |
      | missing: no line says how the request ended       |

  # Guards against a script that takes a missing request for an explained one.
  Scenario: An unknown request exits with 1
    Given logs of two hosts with a booking that made a call and was refused
    When the command "explain 0000" runs on the logs
    Then it exits with 1 and prints these lines in this order
      | line                                              |
      | request 0000: no line has this request id         |

  # Guards against a log that nodes share, in which the host precedes the time.
  Scenario: A log with the hosts before the times is read from standard input
    Given logs of two hosts with a booking that made a call and was refused
    When the logs are joined and the command "explain af81 --json" reads them
    Then the JSON has 4 lines of hosts "h1, h2" and 1 call
