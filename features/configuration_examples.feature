Feature: The examples are valid

  Scenario Outline: An example passes the check without a warning
    Then the operators' text "<path>" is valid without a warning

    Examples:
      | path                            |
      | examples/redes-compartidas.json |
      | examples/wibisono-kostum.json   |

  Scenario: The example settings are taken
    Then the settings "examples/node.json" are valid for a node
    And the settings "examples/client.json" are valid for a client
