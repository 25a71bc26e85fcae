Feature: No work starts for a caller that has left

  # Guards against passing on a request that is read after its caller has closed
  # the connection (incident wkn-mesh-gone).
  Scenario: A request is not passed on if its caller left before it was read
    Given a platform with hosts "h1, h2"
    When a caller of "h1" closes its connection before "h1" has read the request
    Then no instance has run the request of the caller that left
    And the log of "h1" says that the caller had left when the request was read

  # Guards against a second attempt for a caller that left during the first.
  Scenario: A request is not sent again after its caller has left
    Given a platform with hosts "h1, h2"
    When a caller leaves while the first instance loses its request
    Then the request of the caller that left has run once

  # Guards against running a queued request whose caller has left since the last
  # check of the connections.
  Scenario: A queued request does not start after its caller has left
    Given a platform with hosts "h1"
    When a caller leaves 40 ms before its request gets a slot
    Then no instance has run the request of the caller that left

  # Guards against running a queued call whose gateway has closed the connection
  # since the last check of the connections.
  Scenario: A queued call does not start after its gateway has abandoned it
    Given a platform with hosts "h1"
    When a gateway closes its connection 40 ms before its call gets a slot
    Then no instance has run the request of the caller that left

  # Guards against dropping the finished response of a caller that is still
  # connected.
  Scenario: A caller that stays connected gets a response while others leave
    Given a platform with hosts "h1"
    When 6 callers leave while another one stays
    Then the caller that stays gets status 200
