Feature: No work begins for a caller that has left

  # Guards against a request that is read after its caller's close has arrived
  # and is passed on all the same (incident wkn-mesh-gone).
  Scenario: A request is not passed on if its caller left before it was read
    Given a platform with hosts "h1, h2"
    When a caller of "h1" closes its connection before "h1" has read the request
    Then no instance has run the request of the caller that left
    And the log of "h1" says that the caller had left when the request was read

  # Guards against a second try for a caller that left during the first.
  Scenario: A request is not sent again after its caller has left
    Given a platform with hosts "h1, h2"
    When a caller leaves while the first instance loses its request
    Then the request of the caller that left has run once

  # Guards against a slot that is handed to a request whose caller has left
  # since the connections were last looked at.
  Scenario: A waiting request does not start after its caller has left
    Given a platform with hosts "h1"
    When a caller leaves 40 ms before its request gets a slot
    Then no instance has run the request of the caller that left

  # Guards against the same slot between two nodes.
  Scenario: A waiting call does not start after its gateway has given it up
    Given a platform with hosts "h1"
    When a gateway closes its connection 40 ms before its call gets a slot
    Then no instance has run the request of the caller that left

  # Guards against a node that takes a finished answer for unwanted work.
  Scenario: A caller that stays is served while others leave
    Given a platform with hosts "h1"
    When 6 callers leave while another one waits
    Then the caller that waits gets 200
