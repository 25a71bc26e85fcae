Feature: Usage caps of organisations over all nodes

  # Guards against requests that get 429 although their organisation keeps its
  # cap, and against nodes that each grant the whole cap.
  Scenario: All gateways together admit the cap and its burst
    Given nodes "h1, h2, h3" and a cap of 10 requests a second with a burst of 15
    When 20 requests a second are sent through all nodes for 6 s
    Then between 75 and 84 of them run and the others get 429

  # Guards against a needless refusal in the first seconds of a fleet.
  Scenario: Requests within the cap are never refused
    Given nodes "h1, h2, h3" and a cap of 10 requests a second with a burst of 15
    When 9 requests a second are sent through all nodes for 6 s
    Then none of them gets 429

  # Guards against callers that come back too early or too late: a request after
  # the time that a refusal names must succeed.
  Scenario: The Retry-After of a refusal is true
    Given nodes "h1, h2" and a cap of 2 requests a second with a burst of 0
    When requests are sent through "h1" until one gets 429
    Then the next request through "h2" after the time that it names succeeds
    And a request 0.1 s before that time gets 429

  # Guards against caps that apply without the operators' tolerance, and to
  # organisations without a cap.
  Scenario Outline: Requests without a cap are not counted
    Given nodes "h1, h2" and a cap of <rate> requests a second with a burst of 0
    And the nodes have <bounds>
    When 20 requests a second are sent through all nodes for 3 s
    Then none of them gets 429
    And no node has a connection for usage caps

    Examples:
      | rate | bounds             |
      | 0    | bounds for caps    |
      | 2    | no bounds for caps |
