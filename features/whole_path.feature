Feature: A caller's request reaches an upstream and its response returns

  # Guards against requests that succeed only if the upstream is beside the node
  # that the caller uses.
  Scenario: A request reaches an upstream beside another node
    Given nodes "a1, b1" in availability zones "a, b"
    And an upstream of service "lanes" beside node "b1"
    When a caller sends "GET /availability" for "lanes" to node "a1"
    Then the caller gets status 200 from instance "b1"

  # Guards against a misspelled service whose caller gets a timeout or an
  # unknown outcome instead of an error that names the cause.
  Scenario: A request for an unknown service is refused as not run
    Given nodes "a1" in availability zones "a"
    When a caller sends "GET /" for "pesanan" to node "a1"
    Then the caller gets status 404 with code "unknown_service"

  # Guards against a scrape without the metrics that operators check first.
  Scenario: A scrape shows requests, admission and the configuration
    Given nodes "a1" in availability zones "a"
    And an upstream of service "lanes" beside node "a1"
    When a caller sends "GET /x" for "lanes" to node "a1" and metrics are read
    Then the metrics have these values
      | name                                     | value |
      | rhubarbpaddle_configuration_version      | 1.0   |
      | rhubarbpaddle_log_lag                    | 0.0   |
      | rhubarbpaddle_members                    | 1.0   |
      | rhubarbpaddle_limit                      | 1.0   |
      | rhubarbpaddle_in_flight                  | 0.0   |
      | rhubarbpaddle_request_duration_seconds_count | 1.0 |
